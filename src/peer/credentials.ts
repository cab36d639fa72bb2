/** Credentials for the connections between instances. */
import * as grpc from "@grpc/grpc-js";

/** Paths of PEM files. */
export interface TlsFiles {
    readonly certFile: string;
    readonly keyFile: string;
    readonly caFile: string;
}

/** Credentials for both sides of a connection. */
export interface PeerCredentials {
    readonly server: grpc.ServerCredentials;
    readonly channel: grpc.ChannelCredentials;
}

/** Interval at which the files are read again, so that rotated keys take effect without a restart. */
const REFRESH_MS = 5000;

/**
 * Creates credentials for mutual TLS: clients and servers without a certificate of the site's authority are rejected.
 * The address in a certificate is not checked, because instances are often replaced at other addresses. Without files,
 * the connections are not encrypted.
 */
export function createPeerCredentials(files: TlsFiles | undefined): PeerCredentials {
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
