package routerfleet.wire;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;
import routerfleet.config.BackendConfig;
import routerfleet.config.ClientLimits;
import routerfleet.config.ConfigChange;
import routerfleet.config.ConfigDelta;
import routerfleet.config.ConfigDocument;
import routerfleet.config.ConfigOrder;
import routerfleet.config.ConfigStore;
import routerfleet.config.FleetConfiguration;
import routerfleet.config.RouteConfig;
import routerfleet.config.TenantConfig;

/** Configurations, what changes them, and the shard's state as bytes and back, field by field. */
final class ConfigForm {
    private static final int IS_PUBLIC = 1;
    private static final int SESSION_AFFINITY = 2;
    private static final int STREAM_RESUME = 4;
    private static final int HAS_ENGINE = 1;
    private static final int HAS_WARMUP = 2;
    private static final ConfigOrder.Kind[] KINDS = ConfigOrder.Kind.values();

    private ConfigForm() { }

    // ---- configurations

    static void write(Output out, FleetConfiguration configuration) {
        out.writeVarLong(configuration.generation(), false);
        Fields.writeCount(out, configuration.routes().size());
        for (RouteConfig route : configuration.routes()) {
            writeRoute(out, route);
        }
        Fields.writeCount(out, configuration.backends().size());
        for (BackendConfig backend : configuration.backends()) {
            writeBackend(out, backend);
        }
        writeLimits(out, configuration.limits());
        Fields.writeCount(out, configuration.tenants().size());
        for (TenantConfig tenant : configuration.tenants()) {
            writeTenant(out, tenant);
        }
    }

    static FleetConfiguration readConfiguration(Input in) {
        long generation = in.readVarLong(false);
        int routeCount = Fields.readCount(in);
        List<RouteConfig> routes = new ArrayList<>(routeCount);
        for (int i = 0; i < routeCount; i++) {
            routes.add(readRoute(in));
        }
        int backendCount = Fields.readCount(in);
        List<BackendConfig> backends = new ArrayList<>(backendCount);
        for (int i = 0; i < backendCount; i++) {
            backends.add(readBackend(in));
        }
        ClientLimits limits = readLimits(in);
        int tenantCount = Fields.readCount(in);
        List<TenantConfig> tenants = new ArrayList<>(tenantCount);
        for (int i = 0; i < tenantCount; i++) {
            tenants.add(readTenant(in));
        }
        return new FleetConfiguration(generation, routes, backends, limits, tenants);
    }

    static void writeRoute(Output out, RouteConfig route) {
        out.writeString(route.name());
        out.writeString(route.host());
        out.writeString(route.pathPrefix());
        out.writeString(route.type());
        out.writeVarLong(route.timeoutMs(), true);
        out.writeVarLong(route.targetLatencyMs(), true);
        out.writeVarInt(route.priority(), true);
        out.writeString(route.backend());
        writeSplit(out, route.trafficSplit());
        out.writeVarInt(route.maxAttempts(), true);
        out.writeByte((route.isPublic() ? IS_PUBLIC : 0) | (route.sessionAffinity() ? SESSION_AFFINITY : 0)
                | (route.streamResume() ? STREAM_RESUME : 0));
        out.writeVarLong(route.gapAimMs(), true);
    }

    /** The number of parts and one, or 0 where there is no list. */
    private static void writeSplit(Output out, List<RouteConfig.WeightedBackend> split) {
        out.writeVarInt(split == null ? 0 : split.size() + 1, true);
        if (split != null) {
            for (RouteConfig.WeightedBackend part : split) {
                out.writeString(part.backend());
                out.writeDouble(part.weight());
            }
        }
    }

    static RouteConfig readRoute(Input in) {
        String name = in.readString();
        String host = in.readString();
        String pathPrefix = in.readString();
        String type = in.readString();
        long timeoutMs = in.readVarLong(true);
        long targetLatencyMs = in.readVarLong(true);
        int priority = in.readVarInt(true);
        String backend = in.readString();
        List<RouteConfig.WeightedBackend> split = readSplit(in);
        int maxAttempts = in.readVarInt(true);
        int flags = in.readByte();
        long gapAimMs = in.readVarLong(true);
        return new RouteConfig(name, host, pathPrefix, type, timeoutMs, targetLatencyMs, priority, backend, split,
                maxAttempts, (flags & IS_PUBLIC) != 0, (flags & SESSION_AFFINITY) != 0, (flags & STREAM_RESUME) != 0,
                gapAimMs);
    }

    private static List<RouteConfig.WeightedBackend> readSplit(Input in) {
        int size = in.readVarInt(true) - 1;
        if (size < 0) {
            return null;
        }
        List<RouteConfig.WeightedBackend> split = new ArrayList<>(Math.min(size, in.limit() - in.position()));
        for (int i = 0; i < size; i++) {
            split.add(new RouteConfig.WeightedBackend(in.readString(), in.readDouble()));
        }
        return split;
    }

    /** A byte that tells which parts follow; builds without warm-up wrote 1 or 0 there, which reads the same. */
    private static void writeBackend(Output out, BackendConfig backend) {
        out.writeString(backend.name());
        out.writeString(backend.healthCheck());
        out.writeVarInt(backend.maxConnections(), true);
        BackendConfig.Engine engine = backend.runtime();
        boolean warms = backend.warmupS() != 0 || backend.warmupPerS() != 0;
        out.writeByte((engine != null ? HAS_ENGINE : 0) | (warms ? HAS_WARMUP : 0));
        if (engine != null) {
            out.writeVarInt(engine.capacity(), true);
            out.writeVarLong(engine.kvCapacity(), true);
            out.writeVarInt(engine.stride(), false);
        }
        if (warms) {
            out.writeDouble(backend.warmupS());
            out.writeDouble(backend.warmupPerS());
        }
    }

    private static BackendConfig readBackend(Input in) {
        String name = in.readString();
        String healthCheck = in.readString();
        int maxConnections = in.readVarInt(true);
        BackendConfig.Engine engine = null;
        int flags = in.readByte();
        if ((flags & HAS_ENGINE) != 0) {
            engine = new BackendConfig.Engine(in.readVarInt(true), in.readVarLong(true), in.readVarInt(false));
        }
        boolean warms = (flags & HAS_WARMUP) != 0;
        double warmupS = warms ? in.readDouble() : 0;
        double warmupPerS = warms ? in.readDouble() : 0;
        return new BackendConfig(name, healthCheck, maxConnections, engine, warmupS, warmupPerS);
    }

    private static void writeLimits(Output out, ClientLimits limits) {
        out.writeVarInt(limits.maxHeaderBytes(), true);
        out.writeVarInt(limits.maxBodyBytes(), true);
        out.writeVarLong(limits.headerTimeoutMs(), true);
        out.writeVarLong(limits.idleTimeoutMs(), true);
    }

    private static ClientLimits readLimits(Input in) {
        return new ClientLimits(in.readVarInt(true), in.readVarInt(true), in.readVarLong(true), in.readVarLong(true));
    }

    private static void writeTenant(Output out, TenantConfig tenant) {
        out.writeString(tenant.name());
        Fields.writeStrings(out, tenant.apiKeys());
        out.writeVarInt(tenant.priority(), true);
        out.writeString(tenant.unit());
        out.writeDouble(tenant.uncachedTokens());
        out.writeDouble(tenant.ratePerS());
        out.writeDouble(tenant.burst());
    }

    private static TenantConfig readTenant(Input in) {
        return new TenantConfig(in.readString(), Fields.readStrings(in), in.readVarInt(true), in.readString(),
                in.readDouble(), in.readDouble(), in.readDouble());
    }

    // ---- changes

    static void write(Output out, ConfigDelta delta) {
        out.writeVarLong(delta.base(), false);
        out.writeBoolean(delta.whole());
        write(out, delta.items());
        Fields.writeStrings(out, delta.removedRoutes());
        Fields.writeStrings(out, delta.removedBackends());
        Fields.writeStrings(out, delta.removedTenants());
    }

    static ConfigDelta readDelta(Input in) {
        return new ConfigDelta(in.readVarLong(false), in.readBoolean(), readConfiguration(in), Fields.readStrings(in),
                Fields.readStrings(in), Fields.readStrings(in));
    }

    static void write(Output out, ConfigOrder order) {
        out.writeByte(order.kind().ordinal());
        out.writeVarLong(order.base(), false);
        Fields.writeBytes(out, order.body());
    }

    static ConfigOrder readOrder(Input in) {
        return new ConfigOrder(Fields.readChoice(in, KINDS), in.readVarLong(false), Fields.readBytes(in));
    }

    static void write(Output out, ConfigChange change) {
        write(out, change.order());
        out.writeString(change.digest());
        write(out, change.delta());
    }

    static ConfigChange readChange(Input in) {
        return new ConfigChange(readOrder(in), in.readString(), readDelta(in));
    }

    // ---- the shard's state

    static void write(Output out, ConfigStore.State state) {
        Fields.writeBytes(out, state.document().base());
        Fields.writeCount(out, state.document().later().size());
        for (ConfigOrder order : state.document().later()) {
            write(out, order);
        }
        out.writeBoolean(state.configuration() != null);
        if (state.configuration() != null) {
            write(out, state.configuration());
        }
        out.writeString(state.lastDigest());
        Fields.writeStrings(out, state.digests());
        Fields.writeCount(out, state.generations().size());
        for (long generation : state.generations()) {
            out.writeVarLong(generation, false);
        }
    }

    static ConfigStore.State readState(Input in) {
        byte[] base = Fields.readBytes(in);
        int laterCount = Fields.readCount(in);
        List<ConfigOrder> later = new ArrayList<>(laterCount);
        for (int i = 0; i < laterCount; i++) {
            later.add(readOrder(in));
        }
        FleetConfiguration configuration = in.readBoolean() ? readConfiguration(in) : null;
        String lastDigest = in.readString();
        List<String> digests = Fields.readStrings(in);
        int generationCount = Fields.readCount(in);
        List<Long> generations = new ArrayList<>(generationCount);
        for (int i = 0; i < generationCount; i++) {
            generations.add(in.readVarLong(false));
        }
        return new ConfigStore.State(new ConfigDocument(base, later), configuration, lastDigest, digests, generations);
    }
}
