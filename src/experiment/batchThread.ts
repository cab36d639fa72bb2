/** Entry point of a worker thread of a batch: simulates each task that it receives and posts the result. */
import * as threads from "node:worker_threads";
import * as batch from "./batch";

const port = threads.parentPort!;
port.on("message", (task: batch.BatchTask) => void batch.simulateTask(task).then(result => port.postMessage(result)));
