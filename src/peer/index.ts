/** gRPC messages, connections and server between instances. */
export { createPeerConnections, type PeerConnections } from "./connections";
export { createPeerCredentials, type PeerCredentials, type TlsFiles } from "./credentials";
export type {
    Answer,
    CommandResult,
    ConfigurationReply,
    ConfigurationRequest,
    HeartbeatMessage,
    JobNotice,
    JobNoticeReply,
    Needs,
    RackCommand,
    RackCommandReply,
    RackLoad,
    RackReport,
    RackReportReply,
    RefusalMessage,
    RunReply,
    RunRequest,
    TaskCommand,
    TaskCreate,
    TaskReport,
    ZoneLoad,
} from "./peer.generated";
export type { PeerService } from "./peerService";
export { type PeerServer, startPeerServer } from "./server";
