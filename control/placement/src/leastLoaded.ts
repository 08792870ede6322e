/** Binary min-heap of server indexes by load. Equal loads are ordered by index, so that the order is deterministic. */
export class LeastLoaded {
  private readonly heap: number[];

  constructor(
    indexes: readonly number[],
    private readonly loads: Float64Array,
  ) {
    this.heap = [...indexes];
    for (let at = (this.heap.length >> 1) - 1; at >= 0; at--) this.siftDown(at);
  }

  get size(): number {
    return this.heap.length;
  }

  /** Index of the least loaded server, or undefined when the heap is empty. */
  peek(): number | undefined {
    return this.heap[0];
  }

  /** The root and its children; the least loaded two servers are among them. */
  peekThree(): number[] {
    return this.heap.slice(0, 3);
  }

  pop(): number | undefined {
    const top = this.heap[0];
    const last = this.heap.pop();
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown(0);
    }
    return top;
  }

  /** Restores the order after the load of one of the first three servers grew. */
  grew(index: number): void {
    const at = this.heap.indexOf(index);
    if (at >= 0) this.siftDown(at);
  }

  private siftDown(start: number): void {
    let at = start;
    for (;;) {
      const left = 2 * at + 1;
      const right = left + 1;
      let least = at;
      if (left < this.heap.length && this.before(left, least)) least = left;
      if (right < this.heap.length && this.before(right, least)) least = right;
      if (least === at) return;
      const moved = this.heap[at]!;
      this.heap[at] = this.heap[least]!;
      this.heap[least] = moved;
      at = least;
    }
  }

  private before(a: number, b: number): boolean {
    const left = this.heap[a]!;
    const right = this.heap[b]!;
    const difference = this.loads[left]! - this.loads[right]!;
    return difference < 0 || (difference === 0 && left < right);
  }
}
