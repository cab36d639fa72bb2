import type * as membershipList from "./membershipList";
import type * as objectStore from "./objectStore";
import type * as tableService from "./tableService";

/** The platform's services that an instance uses. */
export interface Platform {
    readonly table: tableService.TableService;
    readonly objects: objectStore.ObjectStore;
    readonly membership: membershipList.MembershipList;
}
