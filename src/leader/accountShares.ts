/**
 * Connects the usage ledger to the leader's entries: what the accounts hold, and which decisions their usage changed.
 *
 * Usage counts only while some account exceeds its fair share by a step of the order; before that every unit has the
 * same usage step, and a pass decides as without usage.
 */
import type * as catalog from "../catalog/index";
import * as decisions from "../decisions/index";
import * as fairShare from "../fairShare/index";
import type * as observe from "../observe/index";
import * as work from "../work/index";
import type * as entries from "./entries";
import type * as learned from "./learned/index";
import type * as units from "./units";

export interface AccountSharesOptions {
    readonly log: observe.Log;
    readonly meter: observe.Meter;
    readonly catalog: Pick<catalog.CurrentCatalog, "get" | "getAccount">;
    readonly active: Iterable<entries.JobEntry>;
    now(): number;
    getWorkers(): Iterable<entries.WorkerEntry>;
}

/** A plan, and the tasks behind its units and groups. */
export interface DecidedPass {
    readonly plan: decisions.Plan;
    readonly waiting: readonly units.UnitOfTasks[];
    readonly groups: ReadonlyMap<string, units.GroupOfTasks>;
}

/** The accounts' shares within one term. */
export interface AccountShares {
    /** Reads what the accounts hold, at most once per `SAMPLE_INTERVAL_MS`. */
    sample(): void;
    /** Usage of the job's account in its service; `undefined` while no account of the service exceeds its share. */
    getUsage(job: entries.JobEntry): number | undefined;
    /** Counts and logs the decisions of a pass that usage changed. */
    recordDecisions(pass: DecidedPass): void;
    readGauges(): observe.GaugeSample[];
    readonly section: learned.LearnedSection;
}

/** The usage has a half-life of 30 s, so more samples would only cost time: one reads all tasks of all workers. */
const SAMPLE_INTERVAL_MS = 250;
/** Bounds the number of time series. */
const MAX_GAUGE_ACCOUNTS = 50;
/** Bounds the log volume: an account far over its share is overtaken by nearly every start of the others. */
const MAX_LINES_PER_SECOND = 5;

/** Shares without samples. */
export function createAccountShares(options: AccountSharesOptions): AccountShares {
    const ledger = fairShare.createUsageLedger();
    /** Services in which an account exceeds its share. */
    let contended: ReadonlySet<string> = new Set();
    const logLimited = createLineLimiter(options);
    // A rate over a series that begins with its first increment misses that increment.
    (["start", "stop"] as const).forEach(kind => options.meter.increment("usage_decisions_total", { kind }, 0));

    const countDecision = (kind: "start" | "stop", fields: Readonly<Record<string, unknown>>) => {
        options.meter.increment("usage_decisions_total", { kind });
        logLimited("decidedByUsage", { kind, ...fields, usageAgeMs: options.now() - ledger.getSampledAt()! });
    };
    const hasContention = (service: string) =>
        [...ledger.getUsage(service).values()].some(usage => decisions.getUsageStep({ ...NO_URGENCY, usage }) > 0);

    return {
        sample: () => {
            const now = options.now();
            const sampledAt = ledger.getSampledAt();
            if (sampledAt !== undefined && now - sampledAt < SAMPLE_INTERVAL_MS) {
                return;
            }
            const services = collectSamples(options);
            ledger.record(services, now);
            contended = new Set([...services.keys()].filter(hasContention));
        },
        getUsage: job =>
            contended.has(job.queue.service)
                ? ledger.getUsage(job.queue.service).get(job.submission.account)
                : undefined,
        recordDecisions: pass => {
            if (contended.size === 0) {
                return;
            }
            findOvertakingStarts(pass).forEach(({ start, overtaken }) =>
                countDecision("start", {
                    unit: start.unit.key,
                    usage: start.urgency.usage,
                    overtaken: overtaken.unit.key,
                    overtakenUsage: overtaken.urgency.usage,
                })
            );
            findSparedGroups(pass).forEach(({ stop, spared }) =>
                countDecision("stop", {
                    group: stop.group.key,
                    usage: pass.groups.get(stop.group.key)!.urgency.usage,
                    spared: spared.group.key,
                    sparedUsage: spared.urgency.usage,
                    forUnit: stop.forUnit,
                })
            );
        },
        readGauges: () =>
            [...services(options.catalog)].flatMap(service =>
                [...ledger.getUsage(service)].map(([account, value]) => ({
                    metric: "account_usage" as const,
                    labels: { service, account },
                    value,
                }))
            ).sort((a, b) => b.value - a.value).slice(0, MAX_GAUGE_ACCOUNTS),
        section: {
            name: "shares",
            encode: ledger.encode,
            restore: (text, ageMs) => ledger.restore(text, options.now() - ageMs),
        },
    };
}

const NO_URGENCY: decisions.Urgency = {
    tier: decisions.PreemptionTier.None,
    priority: 0,
    ageMs: 0,
    objectiveMs: 0,
    remainingMs: 0,
};

function services(current: Pick<catalog.CurrentCatalog, "get">): Iterable<string> {
    return (current.get()?.services ?? []).map(service => service.name);
}

/** Writes at most `MAX_LINES_PER_SECOND` lines; the next line after that says how many were omitted. */
function createLineLimiter({ log, now }: AccountSharesOptions): observe.Log["info"] {
    let second = 0;
    let lines = 0;
    let omitted = 0;
    return (event, fields) => {
        const current = Math.floor(now() / 1_000);
        if (current !== second) {
            second = current;
            lines = 0;
        }
        if (++lines > MAX_LINES_PER_SECOND) {
            omitted++;
            return;
        }
        log.info(event, { ...fields, omittedBefore: omitted || undefined });
        omitted = 0;
    };
}

/** What the accounts hold and weigh in each service that has workers or work. */
function collectSamples(options: AccountSharesOptions): Map<string, fairShare.ServiceSample> {
    const samples = new Map<string, {
        capacity: decisions.MutableResources;
        heldByAccount: Map<string, decisions.MutableResources>;
        weightByAccount: Map<string, number>;
    }>();
    const getSample = (service: string) =>
        getOrCreate(samples, service, () => ({
            capacity: decisions.copyResources(work.NO_RESOURCES),
            heldByAccount: new Map<string, decisions.MutableResources>(),
            weightByAccount: new Map<string, number>(),
        }));
    for (const worker of options.getWorkers()) {
        decisions.addResources(getSample(worker.info.service).capacity, worker.info.capacity);
        for (const task of worker.tasks) {
            const { queue, submission } = task.step.occurrence.job;
            const held = getOrCreate(
                getSample(queue.service).heldByAccount,
                submission.account,
                () => decisions.copyResources(work.NO_RESOURCES),
            );
            decisions.addResources(held, task.step.needs);
        }
    }
    const accounts = options.catalog.get()?.accounts ?? [];
    const guaranteedAccelerators = accounts.reduce((sum, account) => sum + account.guaranteedAccelerators, 0);
    const accountsWithoutGuarantee = accounts.filter(account => account.guaranteedAccelerators === 0).length;
    for (const job of options.active) {
        const { capacity, weightByAccount } = getSample(job.queue.service);
        const name = job.submission.account;
        if (!weightByAccount.has(name) && hasWork(job)) {
            const account = options.catalog.getAccount(name);
            weightByAccount.set(
                name,
                fairShare.getWeight({
                    configured: account !== undefined,
                    guaranteedAccelerators: account?.guaranteedAccelerators ?? 0,
                    remainingAccelerators: Math.max(0, capacity.accelerators - guaranteedAccelerators),
                    accountsWithoutGuarantee,
                }),
            );
        }
    }
    return samples;
}

function hasWork(job: entries.JobEntry): boolean {
    for (const occurrence of job.occurrences.values()) {
        if (!occurrence.isEnded) {
            return true;
        }
    }
    return false;
}

/** Starts ahead of work that waits on and that would have come first without usage, and the first such work. */
function findOvertakingStarts({ plan, waiting }: DecidedPass) {
    const startsByKey = new Map(plan.starts.map(start => [start.unit.key, start]));
    /** Per class of equal urgency but for usage and slack, the least slack of the waiting units by usage step. */
    const leftByClass = new Map<string, Map<number, units.UnitOfTasks>>();
    for (const item of waiting) {
        const step = decisions.getUsageStep(item.urgency);
        if (step > 0 && !startsByKey.has(item.unit.key)) {
            const left = getOrCreate(leftByClass, getClassKey(item), () => new Map<number, units.UnitOfTasks>());
            // The units are in order, so the first one of a step has the least slack.
            getOrCreate(left, step, () => item);
        }
    }
    return waiting.flatMap(item => {
        const left = startsByKey.has(item.unit.key) ? leftByClass.get(getClassKey(item)) : undefined;
        const step = decisions.getUsageStep(item.urgency);
        const overtaken = left && [...left.values()].find(other =>
            decisions.getUsageStep(other.urgency) > step
            && decisions.getSlackMs(other.urgency) < decisions.getSlackMs(item.urgency)
        );
        return overtaken ? [{ start: item, overtaken }] : [];
    });
}

function getClassKey({ unit, urgency }: units.UnitOfTasks): string {
    return `${urgency.tier} ${decisions.getLatenessClass(urgency)} ${urgency.priority} ${unit.service}`;
}

/** Stops of groups although one of the same tier, whose account has less usage, would have cost less without usage. */
function findSparedGroups({ plan, groups }: DecidedPass) {
    const stopped = new Set(plan.stops.map(stop => stop.group.key));
    const overShare = plan.stops.flatMap(stop => {
        const victim = groups.get(stop.group.key);
        return victim && decisions.getUsageStep(victim.urgency) > 0 ? [{ stop, victim }] : [];
    });
    return overShare.slice(0, MAX_EXAMINED_STOPS).flatMap(({ stop, victim }) => {
        const spared = [...groups.values()].find(other =>
            !stopped.has(other.group.key)
            && other.group.tier === victim.group.tier
            && other.tasks[0]!.step.occurrence.job.queue.service === victim.tasks[0]!.step.occurrence.job.queue.service
            && decisions.getUsageStep(other.urgency) < decisions.getUsageStep(victim.urgency)
            && other.costWithoutUsage < victim.costWithoutUsage
            && other.group.costCoreSeconds >= victim.group.costCoreSeconds
        );
        return spared ? [{ stop, spared }] : [];
    });
}

/** Each is compared with all groups, of which a large site has 96,000. */
const MAX_EXAMINED_STOPS = 10;

function getOrCreate<K, V>(map: Map<K, V>, key: K, create: () => V): V {
    let value = map.get(key);
    if (value === undefined) {
        value = create();
        map.set(key, value);
    }
    return value;
}
