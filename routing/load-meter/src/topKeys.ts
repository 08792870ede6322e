interface Counter {
  count: number;
}

/** Counts the most frequent positions in bounded memory (Space-Saving, Metwally et al. 2005). */
export class TopKeys {
  private readonly counters = new Map<number, Counter>();

  constructor(private readonly capacity: number) {}

  add(position: number): void {
    const counter = this.counters.get(position);
    if (counter) counter.count += 1;
    else if (this.counters.size < this.capacity) this.counters.set(position, {count: 1});
    else this.replaceSmallest(position);
  }

  /** Returns the largest counts, in descending order. Counts may be too high, but never too low. */
  largest(limit: number): Array<{position: number; count: number}> {
    return [...this.counters]
      .map(([position, {count}]) => ({position, count}))
      .sort((a, b) => b.count - a.count)
      .slice(0, limit);
  }

  private replaceSmallest(position: number): void {
    let smallest = -1;
    let smallestCount = Infinity;
    for (const [candidate, {count}] of this.counters) {
      if (count < smallestCount) {
        smallest = candidate;
        smallestCount = count;
      }
      if (count === 1) break;
    }
    this.counters.delete(smallest);
    this.counters.set(position, {count: smallestCount + 1});
  }
}
