package routerfleet.control;

/** Faults that are put into a simulated control plane, to see that the simulation finds them. */
enum PlantedFault {
    NONE, SYNC_DOES_NOTHING, FOLDER_IS_NOT_SYNCED;

    /** The parts that a control service with this fault is made of. */
    ControlParts parts(int toleratedHosts) {
        return new ControlParts(toleratedHosts);
    }

    /** The HTTP side with this fault. */
    ControlHttp.Handler handler(ControlHttp.Handler real) {
        return real;
    }
}
