/**
 * Estimates the natural speed of each worker from the rates of the runs on it.
 *
 * The logarithm of a run's rate is the sum of a rate of its step, the logarithm of its worker's speed, and noise, since
 * the tasks of a step differ in length. The other runs of the step, corrected by the speeds of their workers, give the
 * rate of the step; the caller's estimate is only a prior whose error is measured for each queue. So neither a wrong
 * estimate nor a single long task is mistaken for a slow worker. Both kinds of unknowns are solved by Gaussian message
 * passing, which converges here since each unknown has a prior.
 */
import * as statistics from "./statistics";
import * as storedSpeeds from "./storedSpeeds";

/** A worker as the model knows it. A worker that restarts under its name keeps its speed if its kind is the same. */
export interface WorkerKey {
    readonly name: string;
    readonly service: string;
    /** Labels that tell workers of different hardware apart. */
    readonly kind: string;
}

/** The rate of one run. A later observation of the same run replaces the earlier one. */
export interface RateObservation {
    readonly worker: WorkerKey;
    /** The task and the run. */
    readonly run: string;
    /** The step, whose tasks have similar lengths. */
    readonly step: string;
    readonly queue: string;
    /** The caller's estimate of a task's duration in milliseconds; 0 if there is none. */
    readonly estimateMs: number;
    /** Natural logarithm of the rate in percent per millisecond. */
    readonly logRate: number;
    /** Variance of `logRate` by the measurement alone. */
    readonly variance: number;
}

/** Speeds of one service's workers. */
export interface ServiceSpeeds {
    /** Known speeds relative to the typical worker, by worker name; empty if the workers are even. */
    readonly known: ReadonlyMap<string, number>;
    /** Number of workers with observations. */
    readonly observed: number;
}

export interface SpeedModel {
    observe(observation: RateObservation, now: number): void;
    /** The known speed of the worker relative to the typical one of its service, otherwise 1. */
    getSpeed(worker: WorkerKey): number;
    /** Time since the worker's latest observation in milliseconds; `undefined` if there is none. */
    getAgeMs(worker: WorkerKey, now: number): number | undefined;
    /** Computes the speeds anew, unless that was done within the last second. */
    update(now: number): void;
    /** Speeds by service, as of the latest update. */
    readonly services: ReadonlyMap<string, ServiceSpeeds>;
    /** Stored form of at most `maxBytes` bytes, the speeds that differ most from 1 first. */
    encode(maxBytes: number): string | undefined;
    /** Takes over speeds that were stored `ageMs` ago. Throws if the text is of another format. */
    restore(text: string, ageMs: number, now: number): void;
}

/** An observation counts half after this time: machines are replaced or reconfigured, and a speed is soon relearned. */
const HALF_LIFE_MS = 120_000;
/** After this time an observation counts less than 1/16 and is dropped. */
const MAX_AGE_MS = 4 * HALF_LIFE_MS;
const UPDATE_INTERVAL_MS = 1_000;
/** Bounds the memory: at 4,800 workers, 77,000 cells. Sixteen steps give a standard error of about 0.07. */
const MAX_CELLS_PER_WORKER = 16;
const MAX_RUNS_PER_CELL = 8;
const SWEEPS = 4;
/** Standard deviation of the lengths of a step's tasks before it is measured; deployments have 0.15 to 0.3. */
const DEFAULT_NOISE = 0.25;
const NOISE_RANGE = [0.1, 0.5] as const;
/** Standard deviation of the logarithms of the speeds before it is measured. */
const DEFAULT_SPREAD = 0.3;
const SPREAD_RANGE = [0.02, 0.6] as const;
/** Standard deviation of the logarithm of an estimate's error before it is measured; estimates may be off by 90%. */
const DEFAULT_ESTIMATE_ERROR = 0.6;
const ESTIMATE_ERROR_RANGE = [0.1, 0.8] as const;
const MIN_STEPS_FOR_ESTIMATE_ERROR = 6;
/** Without an estimate: any duration from a second to an hour. */
const UNKNOWN_DURATION = { mean: Math.log(100 / 30_000), variance: 9 } as const;
/**
 * Larger deviations of a run are not caused by its worker's speed: tasks far from their data are three times as slow,
 * slow phases three to eight times.
 */
const MAX_DEVIATION = Math.log(2.8);
/** Smaller differences are explained by interference between the tasks on a worker. */
const EVEN_DEVIATION = Math.log(1.15);
/** A speed counts as known if its distance from 1 is at least this number of standard errors. */
const KNOWN_STANDARD_ERRORS = 2;
/**
 * Workers count as uneven if the sum of their squared deviations exceeds its expectation by this number of standard
 * deviations. Without this test, some of several hundred even workers always appear to be uneven.
 */
const UNEVEN_STANDARD_DEVIATIONS = 4;

interface Run {
    readonly logRate: number;
    readonly variance: number;
    readonly at: number;
}

/** The runs of one step on one worker. Precisions and sums are those of Gaussian messages. */
interface Cell {
    readonly worker: Worker;
    readonly step: Step;
    readonly runs: Map<string, Run>;
    mean: number;
    /** Precision of `mean` as a measurement of the sum of step and worker. */
    precision: number;
    toWorkerPrecision: number;
    toWorkerSum: number;
    toStepPrecision: number;
    toStepSum: number;
}

interface Step {
    readonly key: string;
    readonly queue: string;
    /** Logarithm of the rate according to the caller's estimate; `undefined` without one. */
    readonly estimated: number | undefined;
    readonly cells: Map<Worker, Cell>;
    precision: number;
    sum: number;
    prior: Gaussian;
}

interface Worker {
    key: WorkerKey;
    readonly cells: Map<Step, Cell>;
    stored: { readonly mean: number; readonly variance: number; readonly at: number; } | undefined;
    latestAt: number | undefined;
    /** Messages of all cells, without the priors. */
    precision: number;
    sum: number;
    mean: number;
    variance: number;
}

interface Gaussian {
    readonly mean: number;
    readonly variance: number;
}

interface Service {
    readonly workers: Map<string, Worker>;
    readonly steps: Map<string, Step>;
    noise: number;
    spread: number;
}

export function createSpeedModel(): SpeedModel {
    const services = new Map<string, Service>();
    let speeds = new Map<string, ServiceSpeeds>();
    let updatedAt = -Infinity;

    const getService = (name: string) => {
        let service = services.get(name);
        if (!service) {
            service = { workers: new Map(), steps: new Map(), noise: DEFAULT_NOISE, spread: DEFAULT_SPREAD };
            services.set(name, service);
        }
        return service;
    };
    const getWorker = (key: WorkerKey) => {
        const service = getService(key.service);
        let worker = service.workers.get(key.name);
        if (worker && worker.key.kind !== key.kind) {
            [...worker.cells.values()].forEach(cell => removeCell(service, cell));
            worker = undefined;
        }
        if (!worker) {
            worker = createWorker(key);
            service.workers.set(key.name, worker);
        }
        return worker;
    };
    const findWorker = ({ service, name, kind }: WorkerKey) => {
        const worker = services.get(service)?.workers.get(name);
        return worker?.key.kind === kind ? worker : undefined;
    };
    return {
        observe: (observation, now) => {
            const service = getService(observation.worker.service);
            const worker = getWorker(observation.worker);
            worker.latestAt = now;
            const step = getStep(service, observation);
            let cell = worker.cells.get(step);
            if (!cell) {
                cell = createCell(worker, step);
                worker.cells.set(step, cell);
                step.cells.set(worker, cell);
                if (worker.cells.size > MAX_CELLS_PER_WORKER) {
                    removeCell(service, worker.cells.values().next().value!);
                }
            }
            cell.runs.delete(observation.run);
            cell.runs.set(observation.run, { ...observation, at: now });
            if (cell.runs.size > MAX_RUNS_PER_CELL) {
                cell.runs.delete(cell.runs.keys().next().value!);
            }
        },
        getSpeed: worker => findWorker(worker) ? speeds.get(worker.service)?.known.get(worker.name) ?? 1 : 1,
        getAgeMs: (worker, now) => {
            const latestAt = findWorker(worker)?.latestAt;
            return latestAt === undefined ? undefined : now - latestAt;
        },
        update: now => {
            if (now - updatedAt < UPDATE_INTERVAL_MS) {
                return;
            }
            updatedAt = now;
            speeds = new Map([...services].map(([name, service]) => {
                solve(service, now);
                return [name, selectKnown(service)];
            }));
        },
        get services() {
            return speeds;
        },
        encode: maxBytes => {
            const entries = [...services].flatMap(([service, { workers }]) => {
                // A successor takes any stored speed as evidence of uneven workers.
                if (!speeds.get(service)?.known.size) {
                    return [];
                }
                const typical = getTypical([...workers.values()]);
                return [...workers.values()]
                    .filter(isMeasured)
                    .map(({ key, mean, variance }) => ({ ...key, service, mean: mean - typical, variance }));
            });
            return storedSpeeds.encode(entries, maxBytes);
        },
        restore: (text, ageMs, now) => {
            for (const { mean, variance, ...key } of storedSpeeds.decode(text)) {
                const worker = getWorker(key);
                if (worker.stored === undefined) {
                    worker.stored = { mean, variance, at: now - ageMs };
                    worker.latestAt ??= now - ageMs;
                }
            }
        },
    };
}

function createWorker(key: WorkerKey): Worker {
    return {
        key,
        cells: new Map(),
        stored: undefined,
        latestAt: undefined,
        precision: 0,
        sum: 0,
        mean: 0,
        variance: DEFAULT_SPREAD ** 2,
    };
}

function createCell(worker: Worker, step: Step): Cell {
    return {
        worker,
        step,
        runs: new Map(),
        mean: 0,
        precision: 0,
        toWorkerPrecision: 0,
        toWorkerSum: 0,
        toStepPrecision: 0,
        toStepSum: 0,
    };
}

function getStep(service: Service, { step: key, queue, estimateMs }: RateObservation): Step {
    let step = service.steps.get(key);
    if (!step) {
        step = {
            key,
            queue,
            estimated: estimateMs > 0 ? Math.log(100 / estimateMs) : undefined,
            cells: new Map(),
            precision: 0,
            sum: 0,
            prior: UNKNOWN_DURATION,
        };
        service.steps.set(key, step);
    }
    return step;
}

function removeCell(service: Service, cell: Cell): void {
    cell.worker.cells.delete(cell.step);
    cell.step.cells.delete(cell.worker);
    if (cell.step.cells.size === 0) {
        service.steps.delete(cell.step.key);
    }
}

function solve(service: Service, now: number): void {
    prepareCells(service, now);
    for (let sweep = 0; sweep < SWEEPS; sweep++) {
        for (const worker of service.workers.values()) {
            sendToSteps(worker, service, now);
        }
        setPriors(service);
        for (const step of service.steps.values()) {
            sendToWorkers(step);
        }
        for (const worker of service.workers.values()) {
            combine(worker, service, now);
        }
    }
    service.noise = estimateNoise(service);
    service.spread = estimateSpread(service);
}

/** Drops outdated runs and combines those of each cell. */
function prepareCells(service: Service, now: number): void {
    for (const [name, worker] of service.workers) {
        if (worker.stored && now - worker.stored.at > MAX_AGE_MS) {
            worker.stored = undefined;
        }
        for (const cell of [...worker.cells.values()]) {
            let precision = 0;
            let sum = 0;
            for (const [key, run] of cell.runs) {
                if (now - run.at > MAX_AGE_MS) {
                    cell.runs.delete(key);
                    continue;
                }
                const weight = getDecay(now - run.at) / (service.noise ** 2 + run.variance);
                precision += weight;
                sum += weight * run.logRate;
            }
            if (precision === 0) {
                removeCell(service, cell);
                continue;
            }
            cell.precision = precision;
            cell.mean = sum / precision;
        }
        if (worker.cells.size === 0 && (worker.latestAt === undefined || now - worker.latestAt > MAX_AGE_MS)) {
            service.workers.delete(name);
        }
    }
}

function getDecay(ageMs: number): number {
    return 0.5 ** (Math.max(0, ageMs) / HALF_LIFE_MS);
}

/** The worker's distribution without observations: what was stored, as far as it has not decayed, and the spread. */
function getWorkerPrior(worker: Worker, service: Service, now: number) {
    const precision = 1 / service.spread ** 2;
    if (!worker.stored) {
        return { precision, sum: 0 };
    }
    const storedPrecision = getDecay(now - worker.stored.at) / worker.stored.variance;
    return { precision: precision + storedPrecision, sum: storedPrecision * worker.stored.mean };
}

function sendToSteps(worker: Worker, service: Service, now: number): void {
    const prior = getWorkerPrior(worker, service, now);
    for (const cell of worker.cells.values()) {
        const precision = prior.precision + worker.precision - cell.toWorkerPrecision;
        const mean = (prior.sum + worker.sum - cell.toWorkerSum) / precision;
        cell.toStepPrecision = 1 / (1 / cell.precision + 1 / precision);
        cell.toStepSum = cell.toStepPrecision * (cell.mean - mean);
    }
}

/** Sums the messages of each step, and measures the error of the estimates of each queue. */
function setPriors(service: Service): void {
    const errorsByQueue = new Map<string, Array<{ readonly error: number; readonly variance: number; }>>();
    for (const step of service.steps.values()) {
        step.precision = 0;
        step.sum = 0;
        for (const cell of step.cells.values()) {
            step.precision += cell.toStepPrecision;
            step.sum += cell.toStepSum;
        }
        if (step.estimated !== undefined) {
            const errors = errorsByQueue.get(step.queue) ?? [];
            errors.push({ error: step.sum / step.precision - step.estimated, variance: 1 / step.precision });
            errorsByQueue.set(step.queue, errors);
        }
    }
    const priorByQueue = new Map(
        [...errorsByQueue].map(([queue, errors]): [string, Gaussian] => [queue, getErrorPrior(errors)]),
    );
    for (const step of service.steps.values()) {
        const error = step.estimated === undefined ? undefined : priorByQueue.get(step.queue);
        step.prior = error ? { mean: step.estimated! + error.mean, variance: error.variance } : UNKNOWN_DURATION;
    }
}

function getErrorPrior(errors: ReadonlyArray<{ readonly error: number; readonly variance: number; }>): Gaussian {
    if (errors.length < MIN_STEPS_FOR_ESTIMATE_ERROR) {
        return { mean: 0, variance: DEFAULT_ESTIMATE_ERROR ** 2 };
    }
    const mean = statistics.getMedian(errors.map(({ error }) => error));
    const variance = statistics.getMean(errors.map(item => (item.error - mean) ** 2 - item.variance));
    return { mean, variance: clamp(Math.sqrt(Math.max(0, variance)), ESTIMATE_ERROR_RANGE) ** 2 };
}

function sendToWorkers(step: Step): void {
    for (const cell of step.cells.values()) {
        const precision = 1 / step.prior.variance + step.precision - cell.toStepPrecision;
        const mean = (step.prior.mean / step.prior.variance + step.sum - cell.toStepSum) / precision;
        const deviation = cell.mean - mean;
        if (Math.abs(deviation) > MAX_DEVIATION) {
            cell.toWorkerPrecision = 0;
            cell.toWorkerSum = 0;
            continue;
        }
        cell.toWorkerPrecision = 1 / (1 / cell.precision + 1 / precision);
        cell.toWorkerSum = cell.toWorkerPrecision * deviation;
    }
}

function combine(worker: Worker, service: Service, now: number): void {
    worker.precision = 0;
    worker.sum = 0;
    for (const cell of worker.cells.values()) {
        worker.precision += cell.toWorkerPrecision;
        worker.sum += cell.toWorkerSum;
    }
    const prior = getWorkerPrior(worker, service, now);
    worker.variance = 1 / (prior.precision + worker.precision);
    worker.mean = worker.variance * (prior.sum + worker.sum);
}

/** Standard deviation of the lengths of a step's tasks, from the deviation of each cell from all other cells. */
function estimateNoise(service: Service): number {
    let weights = 0;
    let sum = 0;
    for (const worker of service.workers.values()) {
        for (const cell of worker.cells.values()) {
            const otherPrecision = worker.precision - cell.toWorkerPrecision;
            if (cell.toWorkerPrecision === 0 || otherPrecision <= 0) {
                continue;
            }
            const deviation = cell.toWorkerSum / cell.toWorkerPrecision
                - (worker.sum - cell.toWorkerSum) / otherPrecision;
            const variance = 1 / cell.toWorkerPrecision + 1 / otherPrecision;
            // The part of the deviation that the cell's own noise is expected to cause.
            const share = 1 / cell.precision / variance;
            weights += share;
            sum += share * Math.min(4, deviation ** 2 / variance);
        }
    }
    return weights < MIN_WEIGHT_FOR_NOISE
        ? service.noise
        : clamp(service.noise * Math.sqrt(sum / weights), NOISE_RANGE);
}

const MIN_WEIGHT_FOR_NOISE = 10;

function listMeasurements(workers: Iterable<Worker>): Gaussian[] {
    return [...workers]
        .filter(worker => worker.precision > 0)
        .map(worker => ({ mean: worker.sum / worker.precision, variance: 1 / worker.precision }));
}

/** Standard deviation of the logarithms of the speeds. */
function estimateSpread(service: Service): number {
    const measurements = listMeasurements(service.workers.values());
    if (measurements.length < MIN_WORKERS) {
        return service.spread;
    }
    const variance = service.spread ** 2;
    const weights = measurements.map(item => 1 / (variance + item.variance));
    const center = getWeightedMean(measurements, weights);
    const squares = weights.map(weight => weight ** 2);
    const excess = measurements.reduce(
        (sum, item, index) => sum + squares[index]! * ((item.mean - center) ** 2 - item.variance),
        0,
    ) / statistics.sum(squares);
    return clamp(Math.sqrt(Math.max(0, excess)), SPREAD_RANGE);
}

/** Fewer workers do not show whether they are uneven. */
const MIN_WORKERS = 3;

function getWeightedMean(measurements: readonly Gaussian[], weights: readonly number[]): number {
    return measurements.reduce((sum, item, index) => sum + weights[index]! * item.mean, 0)
        / statistics.sum([...weights]);
}

/** Whether the differences between the workers exceed what noise explains. */
function isUneven(service: Service): boolean {
    const measured = [...service.workers.values()].filter(worker => worker.precision > 0 || worker.stored);
    // An earlier leader stored speeds only after the same test.
    if (measured.some(worker => worker.stored)) {
        return true;
    }
    const measurements = listMeasurements(measured);
    if (measurements.length < MIN_WORKERS) {
        return false;
    }
    const center = getWeightedMean(measurements, measurements.map(item => 1 / item.variance));
    const squares = measurements.reduce((sum, item) => sum + (item.mean - center) ** 2 / item.variance, 0);
    return squares > measurements.length + UNEVEN_STANDARD_DEVIATIONS * Math.sqrt(2 * measurements.length);
}

function isMeasured(worker: Worker): boolean {
    return worker.precision > 0 || worker.stored !== undefined;
}

/**
 * The logarithm of the speed of the typical worker: the median of those with observations. Stored speeds are relative to
 * it, and only those that differ most from it may have been stored.
 */
function getTypical(workers: readonly Worker[]): number {
    const means = workers.filter(worker => worker.precision > 0).map(worker => worker.mean);
    return means.length < MIN_WORKERS ? 0 : statistics.getMedian(means);
}

function selectKnown(service: Service): ServiceSpeeds {
    const workers = [...service.workers.values()];
    const observed = workers.filter(isMeasured).length;
    const none = { known: new Map<string, number>(), observed };
    if (!isUneven(service)) {
        return none;
    }
    const typical = getTypical(workers);
    const known = workers.filter(isMeasured)
        .map(({ key, mean, variance }) => ({ name: key.name, logSpeed: mean - typical, error: Math.sqrt(variance) }))
        .filter(({ logSpeed, error }) => Math.abs(logSpeed) > KNOWN_STANDARD_ERRORS * error);
    const logSpeeds = [0, ...known.map(({ logSpeed }) => logSpeed)];
    if (Math.max(...logSpeeds) - Math.min(...logSpeeds) <= EVEN_DEVIATION) {
        return none;
    }
    return { known: new Map(known.map(({ name, logSpeed }) => [name, roundSpeed(logSpeed)])), observed };
}

/** Rounded to steps of 15%, so that a pass has few distinct speeds and a worker's class is stable. */
function roundSpeed(logSpeed: number): number {
    return Math.exp(EVEN_DEVIATION * Math.round(logSpeed / EVEN_DEVIATION));
}

function clamp(value: number, [min, max]: readonly [number, number]): number {
    return Math.min(max, Math.max(min, value));
}
