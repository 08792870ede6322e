/** Binary min-heap of server indexes ordered by load, then by index, so that the order is deterministic. */
export class LeastLoadedHeap {
  private readonly heap: number[];
  /** Heap node of each server, by server index; -1 for a server that is not in the heap. */
  private readonly nodeOf: Int32Array;

  constructor(
    indexes: readonly number[],
    private readonly loads: Float64Array,
  ) {
    this.heap = [...indexes];
    this.nodeOf = new Int32Array(loads.length).fill(-1);
    for (const [node, index] of this.heap.entries()) this.nodeOf[index] = node;
    for (let node = (this.heap.length >> 1) - 1; node >= 0; node--) this.siftDown(node);
  }

  /** Index of the least loaded server. */
  peek(): number {
    return this.heap[0]!;
  }

  /** The root and its children, which include the two least loaded servers. */
  peekThree(): number[] {
    return this.heap.slice(0, 3);
  }

  /** Restores the heap order after the load of a server has changed. */
  reorder(index: number): void {
    const node = this.nodeOf[index]!;
    if (node < 0) return;
    this.siftUp(node);
    this.siftDown(this.nodeOf[index]!);
  }

  private siftUp(start: number): void {
    let node = start;
    while (node > 0) {
      const parent = (node - 1) >> 1;
      if (!this.isBefore(node, parent)) return;
      this.swap(node, parent);
      node = parent;
    }
  }

  private siftDown(start: number): void {
    let node = start;
    for (;;) {
      const left = 2 * node + 1;
      const right = left + 1;
      let least = node;
      if (left < this.heap.length && this.isBefore(left, least)) least = left;
      if (right < this.heap.length && this.isBefore(right, least)) least = right;
      if (least === node) return;
      this.swap(node, least);
      node = least;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const left = this.heap[a]!;
    const right = this.heap[b]!;
    const difference = this.loads[left]! - this.loads[right]!;
    return difference < 0 || (difference === 0 && left < right);
  }

  private swap(a: number, b: number): void {
    const moved = this.heap[a]!;
    this.heap[a] = this.heap[b]!;
    this.heap[b] = moved;
    this.nodeOf[this.heap[a]!] = a;
    this.nodeOf[this.heap[b]!] = b;
  }
}
