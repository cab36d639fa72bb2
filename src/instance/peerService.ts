/** Service that answers calls from peers. */
import type * as configuration from "../configuration/index";
import type * as membership from "../membership/index";
import type * as peer from "../peer/index";
import type * as queue from "../queue/index";
import * as result from "../result/index";
import type * as workers from "../workers/index";

/** Options of `createPeerService`. */
export interface PeerServiceOptions {
    readonly view: membership.MembershipView;
    readonly reader: configuration.ConfigurationReader;
    readonly getRack: (rackId: string) => workers.RackOwner | undefined;
    readonly getQueue: (zone: string) => queue.ZoneQueue | undefined;
    readonly createHeartbeat: () => peer.HeartbeatMessage;
}

/** Creates the service; calls for racks and queues that this instance does not own are answered as such. */
export function createPeerService(options: PeerServiceOptions): peer.PeerService {
    const { reader, view } = options;
    return {
        heartbeat: async heartbeat => {
            view.recordHeartbeat(heartbeat, undefined);
            return options.createHeartbeat();
        },
        run: async req => {
            const rack = options.getRack(req.rackId);
            if (rack) {
                return rack.run(req);
            }
            const message = `rack ${req.rackId} is not owned here`;
            const refusal = { code: result.ResultCode.NotOwner, message, ran: "no", retryAfterMs: 0 };
            return { requestId: req.requestId, outcome: { $case: "refusal", value: refusal } };
        },
        command: async command => options.getRack(command.rackId)?.command(command) ?? { owner: false, results: [] },
        reportRack: async report =>
            options.getQueue(report.zone)?.handleReport(report) ?? { owner: false, acknowledged: [], confirmed: [] },
        notifyJob: async notice => options.getQueue(notice.zone)?.handleNotice(notice) ?? { owner: false, state: "" },
        getConfiguration: async req => {
            if (req.digest === "") {
                const head = reader.getNewestHead();
                return { head: head ? JSON.stringify(head) : "", document: "" };
            }
            return { head: "", document: reader.getDocument(req.digest) ?? "" };
        },
    };
}
