package routerfleet.config;

/** The configuration shard's whole state, as it goes into a snapshot once there was an evacuation. */
public record ShardState(ConfigStore.State configuration, Evacuations evacuations) { }
