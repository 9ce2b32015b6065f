import { SpeedEstimate } from "@toucantrestle/policy";

/** Speeds of the engines of each service, learned from their responses. */
export class SpeedEstimates {
  readonly #speeds = new Map<string, SpeedEstimate>();

  /** Returns the speed of a service's engines. */
  of(service: string): SpeedEstimate {
    let speed = this.#speeds.get(service);
    if (!speed) {
      speed = new SpeedEstimate();
      this.#speeds.set(service, speed);
    }
    return speed;
  }
}
