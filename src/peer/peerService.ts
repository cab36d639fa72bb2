/** What one instance offers another. The same interface stands for the instance itself, for a remote one and for a fake. */
import type * as messages from "./peer.generated";

export interface PeerService {
    heartbeat(heartbeat: messages.HeartbeatMessage): Promise<messages.HeartbeatMessage>;
    run(req: messages.RunRequest): Promise<messages.RunReply>;
    command(command: messages.RackCommand): Promise<messages.RackCommandReply>;
    reportRack(report: messages.RackReport): Promise<messages.RackReportReply>;
    notifyJob(notice: messages.JobNotice): Promise<messages.JobNoticeReply>;
    getConfiguration(req: messages.ConfigurationRequest): Promise<messages.ConfigurationReply>;
}
