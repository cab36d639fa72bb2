/** Observes arrivals of urgent work for the forecast, and defers starts that urgent work would stop. */
import * as decisions from "../decisions/index";
import * as forecasts from "../forecast/index";
import type * as observe from "../observe/index";
import type * as work from "../work/index";
import type * as entries from "./entries";
import type * as learned from "./learned/index";
import type * as units from "./units";

export interface HeadroomOptions {
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly estimateRunMs: units.RunTimeEstimator;
    /** Monotonic time in milliseconds. */
    getNow(): number;
}

/** The headroom of a term. */
export interface Headroom {
    readonly section: learned.LearnedSection;
    /** Observes what waits, and returns the decision on the starts of the pass. */
    observe(waiting: readonly units.UnitOfTasks[], now: number): NonNullable<decisions.PlanInput["mayStart"]>;
}

/** Creates the headroom of a term without a forecast. */
export function createHeadroom({ log, meter, estimateRunMs, getNow }: HeadroomOptions): Headroom {
    const forecast = forecasts.createForecast();
    const observed = new WeakSet<entries.StepEntry>();
    /** Steps whose deferral has been logged. */
    const deferred = new WeakSet<entries.StepEntry>();

    const observeArrival = ({ unit, tasks }: units.UnitOfTasks, now: number) => {
        const { step } = tasks[0]!;
        const isUrgent = unit.tier === decisions.PreemptionTier.Urgent
            || unit.tier === decisions.PreemptionTier.Guaranteed;
        if (!isUrgent || step.spec.lasting || observed.has(step)) {
            return;
        }
        observed.add(step);
        // A run was ordered before, maybe by an earlier leader, which has observed the arrival.
        if (tasks[0]!.run === 0) {
            const { job } = step.occurrence;
            forecast.record(now, {
                service: unit.service,
                queue: job.queue.name,
                account: job.submission.account,
                width: step.tasks.length,
                needs: step.needs,
                durationMs: estimateRunMs(step),
            });
        }
    };
    const logDeferral = (
        { unit, tasks, urgency }: units.UnitOfTasks,
        freeAfter: work.Resources,
        probability: number | undefined,
        now: number,
    ) => {
        const { step } = tasks[0]!;
        if (deferred.has(step)) {
            return;
        }
        deferred.add(step);
        meter.increment("starts_deferred_total", { queue: step.occurrence.job.queue.name });
        log.info("startDeferred", {
            unit: unit.key,
            probability: Math.round(100 * (probability ?? 0)) / 100,
            slackMs: Math.round(decisions.getSlackMs(urgency)),
            freeAfter,
            lastArrivalMsAgo: Math.round(forecast.getAgeMs(unit.service, now)),
        });
    };
    return {
        section: {
            name: "forecast",
            encode: maxBytes => forecast.encode(maxBytes, getNow()),
            restore: (text, ageMs) => forecast.restore(text, ageMs, getNow()),
        },
        observe: (waiting, now) => {
            waiting.forEach(item => observeArrival(item, now));
            let byKey: ReadonlyMap<string, units.UnitOfTasks> | undefined;
            return (unit, freeAfter) => {
                byKey ??= new Map(waiting.map(item => [item.unit.key, item]));
                const item = byKey.get(unit.key)!;
                const isInTime = decisions.getLatenessClass(item.urgency) === decisions.LatenessClass.InTime;
                const { outcome, probability } = forecasts.decideHeadroom({
                    durationMs: unit.expectedDurationMs,
                    savesCheckpoints: item.tasks[0]!.step.spec.checkpoints,
                    slackMs: isInTime ? decisions.getSlackMs(item.urgency) : 0,
                    freeAfter,
                    demand: forecast.getDemand(unit.service, now),
                });
                if (outcome === forecasts.HeadroomOutcome.Deferred) {
                    logDeferral(item, freeAfter, probability, now);
                    return false;
                }
                return true;
            };
        },
    };
}
