import { expect } from "earl";
import { describe, it } from "node:test";
import { parseDay, UnreadableDayError } from "../src/choosers/parse_day.ts";

const DAY_OUTPUT =
  `day                  own/srv  score  worth served refused failed
quiet-1                10/37   0.74  0.894  1.000   0.000  0.000

worth 0.894 = whole day 1.000 (weight 0.35), worst windows 0.987 (weight 0.5)

class                asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
chat                    80      60     10       5      5        0  0.887   1697.2   7028.6
triage                  40      40      0       0      0        0  1.000   4538.1  13071.9

seen
- 6737855 prompt tokens read (502419 of shared parts again), 33237223 found kept
`;

describe("parseDay", () => {
  it("parses the metrics that choosers are compared by", () => {
    expect(parseDay(DAY_OUTPUT)).toEqual({
      worth: 0.894,
      worstWindows: 0.987,
      promptTokensRead: 6_737_855,
      classes: [
        { name: "chat", asked: 80, inAim: 0.75, p50Ms: 1697.2, p99Ms: 7028.6 },
        { name: "triage", asked: 40, inAim: 1, p50Ms: 4538.1, p99Ms: 13071.9 },
      ],
    });
  });

  it("throws UnreadableDayError if the run did not complete", () => {
    expect(() => parseDay("built in 1.2 s\n")).toThrow(UnreadableDayError);
  });
});
