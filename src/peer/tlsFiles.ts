/** Credentials of the connections between instances. */
import * as grpc from "@grpc/grpc-js";

export interface TlsFiles {
    readonly certFile: string;
    readonly keyFile: string;
    readonly caFile: string;
}

export interface PeerCredentials {
    readonly server: grpc.ServerCredentials;
    readonly channel: grpc.ChannelCredentials;
}

/** How often the files are read again, so that rotated keys are taken up without a restart. */
const REFRESH_MS = 5000;

/**
 * Mutual TLS: whoever has no certificate of the site's authority is refused, as a caller and as a callee. Instances are
 * replaced all day at other addresses, so the authority counts and the address does not.
 */
export function createTlsFiles(files: TlsFiles | undefined): PeerCredentials {
    if (!files) {
        return { server: grpc.ServerCredentials.createInsecure(), channel: grpc.credentials.createInsecure() };
    }
    const provider = new grpc.experimental.FileWatcherCertificateProvider({
        certificateFile: files.certFile,
        privateKeyFile: files.keyFile,
        caCertificateFile: files.caFile,
        refreshIntervalMs: REFRESH_MS,
    });
    return {
        server: grpc.experimental.createCertificateProviderServerCredentials(provider, provider, true),
        channel: grpc.experimental.createCertificateProviderChannelCredentials(provider, provider, {
            checkServerIdentity: () => undefined,
        }),
    };
}
