/**
 * Mutual TLS between instances. Guards against accepting a peer without a certificate of the site's authority, and
 * against a server that keeps using old files after their replacement.
 */
import * as forge from "node-forge";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as observe from "../../observe/index";
import * as peer from "../index";

interface Authority {
    readonly cert: forge.pki.Certificate;
    readonly keys: forge.pki.rsa.KeyPair;
}

const KEY_BITS = 1024 * 2;

function createCertificate(name: string, issuer?: Authority): Authority {
    const keys = forge.pki.rsa.generateKeyPair(KEY_BITS);
    const cert = forge.pki.createCertificate();
    cert.publicKey = keys.publicKey;
    cert.serialNumber = String(Math.floor(Math.random() * 1e9));
    cert.validity.notBefore = new Date(Date.now() - 86_400_000);
    cert.validity.notAfter = new Date(Date.now() + 86_400_000);
    const subject = [{ name: "commonName", value: name }];
    cert.setSubject(subject);
    cert.setIssuer(issuer ? issuer.cert.subject.attributes : subject);
    cert.setExtensions(
        issuer
            ? [{ name: "subjectAltName", altNames: [{ type: 7, ip: "127.0.0.1" }] }]
            : [{ name: "basicConstraints", cA: true }],
    );
    cert.sign(issuer ? issuer.keys.privateKey : keys.privateKey, forge.md.sha256.create());
    return { cert, keys };
}

let folder: string;
let authority: Authority;
let otherAuthority: Authority;

function writeFiles(name: string, issuer: Authority, trusted: Authority): peer.TlsFiles {
    const own = createCertificate(name, issuer);
    const files = ["cert", "key", "ca"].map(kind => path.join(folder, `${name}-${kind}.pem`));
    const [certFile, keyFile, caFile] = files as [string, string, string];
    fs.writeFileSync(certFile, forge.pki.certificateToPem(own.cert));
    fs.writeFileSync(keyFile, forge.pki.privateKeyToPem(own.keys.privateKey));
    fs.writeFileSync(caFile, forge.pki.certificateToPem(trusted.cert));
    return { certFile, keyFile, caFile };
}

beforeAll(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "tls-"));
    authority = createCertificate("site");
    otherAuthority = createCertificate("other");
}, 60_000);
afterAll(() => fs.rmSync(folder, { recursive: true }));

const heartbeat: peer.HeartbeatMessage = {
    instanceId: "i2",
    zone: "z",
    incarnation: 1,
    leaving: false,
    newestRevision: 0,
    currentRevision: 0,
    racks: [],
    zones: [],
};

async function call(address: string, credentials: peer.PeerCredentials): Promise<boolean> {
    const connections = peer.createPeerConnections({
        credentials,
        counters: observe.createCounters({ instance: "test" }),
        isLinkUp: () => true,
    });
    const answer = await connections.get({ id: "i1", zone: "z", peerAddress: address }).heartbeat(heartbeat, 2000);
    connections.close();
    return answer !== undefined;
}

const refuseAll = () => Promise.reject(new Error("not used"));

test("only certificates of the site's authority are accepted, before and after a rotation", async () => {
    const serverFiles = writeFiles("server", authority, authority);
    const service: peer.PeerService = {
        heartbeat: async message => message,
        run: refuseAll,
        command: refuseAll,
        reportRack: refuseAll,
        notifyJob: refuseAll,
        getConfiguration: refuseAll,
    };
    const server = await peer.startPeerServer("127.0.0.1:0", service, peer.createPeerCredentials(serverFiles));
    const clientFiles = writeFiles("client", authority, authority);
    const outcomes = {
        sameAuthority: await call(server.address, peer.createPeerCredentials(clientFiles)),
        otherAuthority: await call(
            server.address,
            peer.createPeerCredentials(writeFiles("other", otherAuthority, authority)),
        ),
        withoutTls: await call(server.address, peer.createPeerCredentials(undefined)),
        untrustedServer: await call(
            server.address,
            peer.createPeerCredentials(writeFiles("untrusting", authority, otherAuthority)),
        ),
    };
    expect(outcomes).toEqual({
        sameAuthority: true,
        otherAuthority: false,
        withoutTls: false,
        untrustedServer: false,
    });
    // The site changes its authority: the files are replaced while the server runs.
    writeFiles("server", otherAuthority, otherAuthority);
    const rotated = peer.createPeerCredentials(writeFiles("rotated", otherAuthority, otherAuthority));
    let accepted = false;
    for (let attempt = 0; attempt < 60 && !accepted; attempt++) {
        accepted = await call(server.address, rotated);
        await new Promise(resolve => setTimeout(resolve, 250));
    }
    expect(accepted).toBe(true);
    await server.close(100);
}, 90_000);
