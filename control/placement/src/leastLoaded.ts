/** Binary min-heap of server indexes by load. Equal loads are ordered by index, so that the order is deterministic. */
export class LeastLoaded {
  private readonly heap: number[];
  /** Place of each server in the heap, by server index. */
  private readonly places: Int32Array;

  constructor(
    indexes: readonly number[],
    private readonly loads: Float64Array,
  ) {
    this.heap = [...indexes];
    this.places = new Int32Array(loads.length).fill(-1);
    for (const [place, index] of this.heap.entries()) this.places[index] = place;
    for (let place = (this.heap.length >> 1) - 1; place >= 0; place--) this.siftDown(place);
  }

  /** Index of the least loaded server. */
  peek(): number {
    return this.heap[0]!;
  }

  /** The root and its children; the two least loaded servers are among them. */
  peekThree(): number[] {
    return this.heap.slice(0, 3);
  }

  /** Restores the order after the load of a server changed. */
  changed(index: number): void {
    const place = this.places[index]!;
    if (place < 0) return;
    this.siftUp(place);
    this.siftDown(this.places[index]!);
  }

  private siftUp(start: number): void {
    let place = start;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (!this.before(place, parent)) return;
      this.swap(place, parent);
      place = parent;
    }
  }

  private siftDown(start: number): void {
    let place = start;
    for (;;) {
      const left = 2 * place + 1;
      const right = left + 1;
      let least = place;
      if (left < this.heap.length && this.before(left, least)) least = left;
      if (right < this.heap.length && this.before(right, least)) least = right;
      if (least === place) return;
      this.swap(place, least);
      place = least;
    }
  }

  private before(a: number, b: number): boolean {
    const left = this.heap[a]!;
    const right = this.heap[b]!;
    const difference = this.loads[left]! - this.loads[right]!;
    return difference < 0 || (difference === 0 && left < right);
  }

  private swap(a: number, b: number): void {
    const moved = this.heap[a]!;
    this.heap[a] = this.heap[b]!;
    this.heap[b] = moved;
    this.places[this.heap[a]!] = a;
    this.places[this.heap[b]!] = b;
  }
}
