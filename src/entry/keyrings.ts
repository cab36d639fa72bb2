/** Keys of the current configuration, indexed once per revision. */
import * as configuration from "../configuration/index";

type Operator = configuration.Contracts["operators"][number];

/** Lookup of keys; `wallTime` is in milliseconds, and expired keys are not found. */
export interface Keyrings {
    findAccount(key: string, wallTime: number): configuration.Account | undefined;
    findOperator(key: string, wallTime: number): Operator | undefined;
}

/** Creates the lookup; no key is found while there is no configuration. */
export function createKeyrings(getContracts: () => configuration.Contracts | undefined): Keyrings {
    let indexed: configuration.Contracts | undefined;
    let accounts: configuration.Keyring<configuration.Account> | undefined;
    let operators: configuration.Keyring<Operator> | undefined;

    const refresh = () => {
        const contracts = getContracts();
        if (contracts && contracts !== indexed) {
            indexed = contracts;
            accounts = configuration.createKeyring(contracts.accounts);
            operators = configuration.createKeyring(contracts.operators);
        }
    };

    return {
        findAccount: (key, wallTime) => {
            refresh();
            return accounts?.find(key, wallTime);
        },
        findOperator: (key, wallTime) => {
            refresh();
            return operators?.find(key, wallTime);
        },
    };
}
