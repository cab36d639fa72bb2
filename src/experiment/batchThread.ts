/** What a thread of a batch runs: plays each task that it is sent, and sends back the result. */
import * as threads from "node:worker_threads";
import * as batch from "./batch";

const port = threads.parentPort!;
port.on("message", (task: batch.BatchTask) => void batch.simulateTask(task).then(result => port.postMessage(result)));
