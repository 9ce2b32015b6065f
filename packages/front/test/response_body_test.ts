import { expect } from "earl";
import { describe, it } from "node:test";
import { isWholeStream, type ReceivedBody } from "../src/response_body.ts";

function received(fields: Partial<ReceivedBody> = {}): ReceivedBody {
  return {
    delimiter: "close",
    bytes: 30,
    events: 2,
    partialEventBytes: 0,
    ...fields,
  };
}

const DELIMITERS = ["length", "chunked", "close"] as const;

// Guards against returning an interrupted stream as complete.
describe("a stream whose body has ended", () => {
  for (const delimiter of DELIMITERS) {
    it(`is whole after a whole event (${delimiter})`, () => {
      expect(isWholeStream(received({ delimiter }))).toEqual(true);
    });

    it(`is not whole inside an event (${delimiter})`, () => {
      expect(isWholeStream(received({ delimiter, partialEventBytes: 1 })))
        .toEqual(false);
    });
  }

  it("without any event is whole only if its end is marked", () => {
    const wholeWith = DELIMITERS.filter((delimiter) =>
      isWholeStream(received({ delimiter, events: 0, bytes: 0 }))
    );
    expect(wholeWith).toEqual(["length", "chunked"]);
  });
});
