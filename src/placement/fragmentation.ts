/** The measure of fragmentation: 1 − accelerators free in whole workers ÷ all free accelerators; 0 when none is free. */
export function getFragmentation(freeAccelerators: number, wholeFreeAccelerators: number): number {
    return freeAccelerators === 0 ? 0 : 1 - wholeFreeAccelerators / freeAccelerators;
}
