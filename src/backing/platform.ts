import type * as membershipList from "./membershipList";
import type * as objectStore from "./objectStore";
import type * as tableService from "./tableService";

/** The three services of the platform that an instance needs. */
export interface Platform {
    readonly table: tableService.TableService;
    readonly objects: objectStore.ObjectStore;
    readonly membership: membershipList.MembershipList;
}
