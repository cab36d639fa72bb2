/** Calls between instances. Implemented by the instance itself, by clients of remote instances and by fakes. */
import type * as messages from "./peer.generated";

/** The calls of the `Peer` service in peer.proto. */
export interface PeerService {
    heartbeat(heartbeat: messages.HeartbeatMessage): Promise<messages.HeartbeatMessage>;
    run(req: messages.RunRequest): Promise<messages.RunReply>;
    command(command: messages.RackCommand): Promise<messages.RackCommandReply>;
    reportRack(report: messages.RackReport): Promise<messages.RackReportReply>;
    notifyJob(notice: messages.JobNotice): Promise<messages.JobNoticeReply>;
    getConfiguration(req: messages.ConfigurationRequest): Promise<messages.ConfigurationReply>;
}
