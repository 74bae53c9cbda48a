/**
 * Size of a command in a message between replicas.
 *
 * @module
 */

/** Most bytes in UTF-8 of one UTF-16 code unit of a JSON text; in a JSON string, a quote takes two. */
const MAX_BYTES_PER_UNIT = 3;

/** Room in a message for everything but the command. */
const ENVELOPE_BYTES = 16_384;

/** Size of an entry, in UTF-16 code units, that fits into a message of a size whatever its characters. */
export function entrySizeOf(maxMessageBytes: number): number {
  return Math.max(
    1,
    Math.floor((maxMessageBytes - ENVELOPE_BYTES) / MAX_BYTES_PER_UNIT),
  );
}

/** Whether a command, itself a JSON text, fits into a message of a size as the only entry. */
export function fitsMessage(command: string, maxMessageBytes: number): boolean {
  return command.length <= entrySizeOf(maxMessageBytes) ||
    new TextEncoder().encode(JSON.stringify(command)).length <=
      maxMessageBytes - ENVELOPE_BYTES;
}
