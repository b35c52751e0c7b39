package routerfleet.config;

/**
 * An order that a leader has examined, as it stands in the log: with what it changes as typed values, so that replicas
 * apply it without reading or checking JSON.
 *
 * @param order as the operator sent it
 * @param digest names the order by its content
 */
public record ConfigChange(ConfigOrder order, String digest, ConfigDelta delta) { }
