/**
 * Memory that a MessagePack value takes once it is decoded. Lengths that a value
 * states are followed, and no more than its first bytes are read.
 *
 * Source of the formats: https://github.com/msgpack/msgpack/blob/master/spec.md
 *
 * @module
 */

/** How the values of a first byte are laid out, and what one costs. */
interface Format {
  /** Bytes of the value, without those of its content. */
  headBytes: number;
  /** Bytes of the length of its content, which follow the first byte. */
  lengthBytes: number;
  /** Memory of the decoded value, without its content. */
  costBytes: number;
}

const SCALAR_COST_BYTES = 16;
const STRING_COST_BYTES = 32;
const BINARY_COST_BYTES = 128;
const CONTAINER_COST_BYTES = 64;

/** Formats by their first byte, from the first to the last of a range. */
const RANGES: readonly [first: number, last: number, format: Format][] = [
  [0x00, 0x7f, scalar(1)],
  [0x80, 0x9f, container(1)],
  [0xa0, 0xbf, { headBytes: 1, lengthBytes: 0, costBytes: STRING_COST_BYTES }],
  [0xc0, 0xc3, scalar(1)],
  [0xc4, 0xc4, content(1, BINARY_COST_BYTES)],
  [0xc5, 0xc5, content(2, BINARY_COST_BYTES)],
  [0xc6, 0xc6, content(4, BINARY_COST_BYTES)],
  [0xc7, 0xc7, extension(1)],
  [0xc8, 0xc8, extension(2)],
  [0xc9, 0xc9, extension(4)],
  [0xca, 0xca, scalar(5)],
  [0xcb, 0xcb, scalar(9)],
  [0xcc, 0xcc, scalar(2)],
  [0xcd, 0xcd, scalar(3)],
  [0xce, 0xce, scalar(5)],
  [0xcf, 0xcf, scalar(9)],
  [0xd0, 0xd0, scalar(2)],
  [0xd1, 0xd1, scalar(3)],
  [0xd2, 0xd2, scalar(5)],
  [0xd3, 0xd3, scalar(9)],
  [0xd4, 0xd4, scalar(3)],
  [0xd5, 0xd5, scalar(4)],
  [0xd6, 0xd6, scalar(6)],
  [0xd7, 0xd7, scalar(10)],
  [0xd8, 0xd8, scalar(18)],
  [0xd9, 0xd9, content(1, STRING_COST_BYTES)],
  [0xda, 0xda, content(2, STRING_COST_BYTES)],
  [0xdb, 0xdb, content(4, STRING_COST_BYTES)],
  [0xdc, 0xdc, container(3)],
  [0xdd, 0xdd, container(5)],
  [0xde, 0xde, container(3)],
  [0xdf, 0xdf, container(5)],
  [0xe0, 0xff, scalar(1)],
];
const SHORT_STRING_FIRST = 0xa0;
const SHORT_STRING_LAST = 0xbf;

const FORMATS: readonly Format[] = RANGES.flatMap(([first, last, format]) =>
  Array.from({ length: last - first + 1 }, (_, i) => ({
    ...format,
    headBytes: format.headBytes + shortStringBytes(first + i),
  }))
);

/** Estimates the memory that a value takes once it is decoded, in bytes. */
export function decodedBytes(bytes: Uint8Array): number {
  let total = 0;
  let at = 0;
  while (at < bytes.length) {
    const format = FORMATS[bytes[at] as number] as Format;
    const contentBytes = readLength(bytes, at + 1, format.lengthBytes);
    at += format.headBytes + contentBytes;
    total += format.costBytes + contentBytes;
  }
  return total;
}

function readLength(bytes: Uint8Array, at: number, size: number): number {
  let length = 0;
  for (let i = 0; i < size; i++) length = length * 256 + (bytes[at + i] ?? 0);
  return length;
}

/** Bytes of a string whose length is part of its first byte. */
function shortStringBytes(first: number): number {
  const isShort = first >= SHORT_STRING_FIRST && first <= SHORT_STRING_LAST;
  return isShort ? first - SHORT_STRING_FIRST : 0;
}

function scalar(headBytes: number): Format {
  return { headBytes, lengthBytes: 0, costBytes: SCALAR_COST_BYTES };
}

function container(headBytes: number): Format {
  return { headBytes, lengthBytes: 0, costBytes: CONTAINER_COST_BYTES };
}

function content(lengthBytes: number, costBytes: number): Format {
  return { headBytes: 1 + lengthBytes, lengthBytes, costBytes };
}

/** An extension has a byte for its type as well. */
function extension(lengthBytes: number): Format {
  const costBytes = BINARY_COST_BYTES;
  return { headBytes: 2 + lengthBytes, lengthBytes, costBytes };
}
