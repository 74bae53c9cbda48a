/**
 * What callers make a process hold, counted by connection and in total.
 *
 * Room is given back by closing connections. Those that hold most for the longest time are closed first: bytes times age
 * is small for a request that arrives without delay, whatever its size, and grows for one that does not move.
 *
 * @module
 */

/** Memory of an open connection: socket, parser and buffers. */
export const CONNECTION_BYTES = 16_384;

/** Memory of a request in progress beside its body: headers, answer, promises and the call to the leader. */
export const REQUEST_BYTES = 16_384;

/** Share of the limit that is left in use when room is made, so that it is made for many requests at a time. */
const RELIEF_SHARE = 0.75;

/** What one connection holds, in bytes. */
export class CallerAccount {
  /** Closes the connection, which gives back what it holds. */
  readonly reclaim: () => void;
  readonly #memory: CallerMemory;
  #reclaimable = 0;
  #pinned = 0;
  /** Since when the connection is idle, or holds something. */
  #since: number;
  #isOpen = true;
  #isProtected = false;

  constructor(memory: CallerMemory, reclaim: () => void, now: number) {
    this.#memory = memory;
    this.reclaim = reclaim;
    this.#since = now;
  }

  /** What is given back when the connection is closed. */
  get reclaimableBytes(): number {
    return this.#reclaimable;
  }

  /** What is needed until requests in progress have ended. */
  get pinnedBytes(): number {
    return this.#pinned;
  }

  /** Whether the connection is kept although room is needed. */
  get isProtected(): boolean {
    return this.#isProtected;
  }

  /** Keeps the connection, whatever it holds: its other end is known, and limited elsewhere. */
  protect(): void {
    this.#isProtected = true;
  }

  /** Whether the connection holds nothing and no request is in progress. */
  get isIdle(): boolean {
    return this.#reclaimable === 0 && this.#pinned === 0;
  }

  /** Time since which the connection is idle, or holds something, in milliseconds. */
  get since(): number {
    return this.#since;
  }

  /** Counts bytes that the connection holds until `free`; makes room if the limit is reached. */
  hold(bytes: number, now: number): void {
    if (!this.#isOpen) {
      return;
    }
    if (this.#reclaimable === 0) {
      this.#since = now;
    }
    this.#reclaimable += bytes;
    this.#memory.add(bytes);
    if (this.#memory.isFull) {
      this.#memory.makeRoom(now);
    }
  }

  /** Called when a request has ended, so that the connection counts as idle from then on. */
  touch(now: number): void {
    if (this.#reclaimable === 0) {
      this.#since = now;
    }
  }

  /** Counts bytes as given back. */
  free(bytes: number, now: number): void {
    const freed = this.#isOpen ? Math.min(bytes, this.#reclaimable) : 0;
    this.#reclaimable -= freed;
    this.#memory.add(-freed);
    if (this.#reclaimable === 0) {
      this.#since = now;
    }
  }

  /** Counts bytes of a request in progress until the returned function is called, also if the connection is closed. */
  pin(bytes: number): () => void {
    this.#pinned += bytes;
    this.#memory.addPinned(bytes);
    return () => {
      this.#pinned -= bytes;
      this.#memory.addPinned(-bytes);
    };
  }

  /** Counts all but requests in progress as given back. */
  close(now: number): void {
    this.free(this.#reclaimable, now);
    this.#isOpen = false;
    this.#memory.remove(this);
  }
}

/** Time for which no room is made after too little was found, since that looks at all connections. */
const SEARCH_PAUSE_MS = 2;

export class CallerMemory {
  readonly limitBytes: number;
  readonly #accounts = new Set<CallerAccount>();
  #held = 0;
  /** Part of it that requests in progress need. */
  #pinned = 0;
  #isMakingRoom = false;
  #searchAfter = -Infinity;

  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  get heldBytes(): number {
    return this.#held;
  }

  get isFull(): boolean {
    return this.#held > this.limitBytes;
  }

  /** What the connection with the most bytes holds, in bytes. */
  get largestHeldBytes(): number {
    let largest = 0;
    for (const { reclaimableBytes, pinnedBytes } of this.#accounts) {
      largest = Math.max(largest, reclaimableBytes + pinnedBytes);
    }
    return largest;
  }

  /** Opens the account of a new connection. `reclaim` closes the connection and its account. */
  open(reclaim: () => void, now: number): CallerAccount {
    const account = new CallerAccount(this, reclaim, now);
    this.#accounts.add(account);
    this.add(CONNECTION_BYTES);
    return account;
  }

  /**
   * Whether there is room for more bytes of a request that needs `own` already, after room was made; always if little
   * else is in progress.
   */
  hasRoom(bytes: number, now: number, own = 0): boolean {
    if (this.#held + bytes > this.limitBytes) {
      this.makeRoom(now, bytes);
    }
    return this.#held + bytes <= this.limitBytes ||
      this.#pinned - own <= REQUEST_BYTES;
  }

  /** Closes connections until the limit is kept with `bytes` more; used by accounts. */
  makeRoom(now: number, bytes = 0): void {
    // Closing a connection may count its answer, which must not start this anew.
    if (this.#isMakingRoom || now < this.#searchAfter) {
      return;
    }
    this.#isMakingRoom = true;
    const target = this.limitBytes * RELIEF_SHARE - bytes;
    for (const { reclaim } of closingOrder(this.#accounts, now)) {
      if (this.#held <= target) {
        break;
      }
      reclaim();
    }
    this.#isMakingRoom = false;
    if (this.#held > target) {
      this.#searchAfter = now + SEARCH_PAUSE_MS;
    }
  }

  /** Closes the first of some connections in order; false if all have requests in progress. */
  closeOne(accounts: Iterable<CallerAccount>, now: number): boolean {
    const [first] = closingOrder(accounts, now);
    first?.reclaim();
    return first !== undefined;
  }

  /** Used by accounts. */
  add(bytes: number): void {
    this.#held += bytes;
  }

  /** Counts bytes that are needed until a request has ended; less than 0 if they are given back. */
  addPinned(bytes: number): void {
    this.#pinned += bytes;
    this.#held += bytes;
  }

  /** Used by accounts. */
  remove(account: CallerAccount): void {
    if (this.#accounts.delete(account)) {
      this.#held -= CONNECTION_BYTES;
    }
  }
}

/** Connections that hold something, those with the most bytes times age first; then idle ones, the oldest first. */
function closingOrder(
  accounts: Iterable<CallerAccount>,
  now: number,
): CallerAccount[] {
  const holding: CallerAccount[] = [];
  const idle: CallerAccount[] = [];
  for (const account of accounts) {
    if (account.isProtected) {
      continue;
    }
    if (account.reclaimableBytes > 0) {
      holding.push(account);
    } else if (account.isIdle) {
      idle.push(account);
    }
  }
  const cost = ({ reclaimableBytes, since }: CallerAccount): number =>
    reclaimableBytes * (1 + now - since);
  holding.sort((a, b) => cost(b) - cost(a));
  idle.sort((a, b) => a.since - b.since);
  return [...holding, ...idle];
}
