import * as site from "../../../standins/site/index";
import * as configuration from "../index";

// Guards against new work on the workers of a zone that an operator has evacuated.
describe("the preset in force", () => {
    test.each([
        { name: "drains nothing without evacuations", evacuatedZones: [], drained: [] },
        { name: "drains the workers of an evacuated zone", evacuatedZones: ["zone-b"], drained: ["zone-b"] },
        { name: "drains those of two", evacuatedZones: ["zone-a", "zone-c"], drained: ["zone-a", "zone-c"] },
    ])("$name", ({ evacuatedZones, drained }) => {
        const { topology, preset, ...contracts } = site.createSmallSite();
        const inForce = configuration.getPresetInForce({
            contracts: { ...contracts, evacuatedZones },
            topology,
            head: { preset } as configuration.ConfigurationHead,
        });
        const expected = configuration.getWorkers(topology).filter(worker => drained.includes(worker.zone));
        expect(inForce?.drainedWorkers).toEqual(expected.map(worker => worker.id));
    });

    test("refuses the evacuation of an unknown zone", () => {
        const { topology, preset, ...contracts } = site.createSmallSite();
        const problems = configuration.checkSite({ ...contracts, evacuatedZones: ["zone-x"] }, topology, preset);
        expect(problems).toEqual([{
            path: "evacuatedZones",
            message: "zone \"zone-x\" is not listed in topology.zones",
        }]);
    });
});
