import * as fixtures from "../../__tests__/fixtures";
import * as entries from "../../entries";
import * as startQueue from "../startQueue";

/** A queue whose orders have no outcome until `settle` is called for their worker. */
function createQueue() {
    const sent: string[] = [];
    const settling = new Map<string, Array<() => void>>();
    const queue = startQueue.createStartQueue(({ task }) => {
        if (!task.worker) {
            return Promise.resolve();
        }
        const { id } = task.worker;
        sent.push(`${id} ${task.name}`);
        return new Promise<void>(resolve => settling.set(id, [...settling.get(id) ?? [], resolve]));
    });
    return {
        queue,
        sent,
        settle: async (workerId: string) => {
            settling.get(workerId)!.shift()!();
            await Promise.resolve();
            await Promise.resolve();
        },
    };
}

function placeTasks(workerId: string, count: number): startQueue.PlacedTask[] {
    const worker = entries.createWorkerEntry(entries.createUnknownWorkerInfo(workerId));
    return Array.from({ length: count }, (_, index) => {
        const task = fixtures.createTask(`${workerId}-${index}`);
        entries.assign(task, worker);
        return { task, run: 1 };
    });
}

const countSent = (sent: readonly string[], workerId: string) =>
    sent.filter(line => line.startsWith(`${workerId} `)).length;

// Guards against starts whose timeouts pass while they wait for a connection to their worker, or for the leader.
describe("starts in flight", () => {
    test("of one worker go out in order, each when an earlier one has its outcome", async () => {
        const { queue, sent, settle } = createQueue();
        const placed = placeTasks("w", 5);
        queue.add(placed);
        for (let count = 4; count <= 5; count++) {
            await settle("w");
            expect(countSent(sent, "w")).toBe(count);
        }
        expect(sent).toEqual(placed.map(({ task }) => `w ${task.name}`));
    });

    // Guards against placed tasks that are never started behind one whose placement was withdrawn.
    test("of one worker pass over those that were withdrawn", async () => {
        const { queue, sent, settle } = createQueue();
        const placed = placeTasks("w", 8);
        queue.add(placed);
        placed.slice(3, 7).forEach(({ task }) => entries.unassign(task));
        for (let outcome = 0; outcome < 3; outcome++) {
            await settle("w");
        }
        expect(sent.at(-1)).toBe(`w ${placed[7]!.task.name}`);
    });

    test("are at most 32 in all", () => {
        const { queue, sent } = createQueue();
        queue.add(Array.from({ length: 40 }, (_, index) => placeTasks(`w${index}`, 1)).flat());
        expect(sent).toHaveLength(32);
    });
});
