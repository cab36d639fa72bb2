/** Fragmentation: 1 − accelerators of fully free workers ÷ all free accelerators; 0 when no accelerator is free. */
export function getFragmentation(freeAccelerators: number, fullyFreeAccelerators: number): number {
    return freeAccelerators === 0 ? 0 : 1 - fullyFreeAccelerators / freeAccelerators;
}
