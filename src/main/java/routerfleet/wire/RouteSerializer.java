package routerfleet.wire;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.Serializer;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;
import routerfleet.config.RouteConfig;

/**
 * Routes, field by field: a configuration holds thousands, and Kryo's own way with records looks each component up anew,
 * which takes a small machine tens of milliseconds for a configuration.
 */
final class RouteSerializer extends Serializer<RouteConfig> {
    private static final int IS_PUBLIC = 1;
    private static final int SESSION_AFFINITY = 2;
    private static final int STREAM_RESUME = 4;

    RouteSerializer() {
        super(false, true);
    }

    @Override
    public void write(Kryo kryo, Output output, RouteConfig route) {
        output.writeString(route.name());
        output.writeString(route.host());
        output.writeString(route.pathPrefix());
        output.writeString(route.type());
        output.writeVarLong(route.timeoutMs(), true);
        output.writeVarLong(route.targetLatencyMs(), true);
        output.writeVarInt(route.priority(), true);
        output.writeString(route.backend());
        writeSplit(output, route.trafficSplit());
        output.writeVarInt(route.maxAttempts(), true);
        output.writeByte((route.isPublic() ? IS_PUBLIC : 0) | (route.sessionAffinity() ? SESSION_AFFINITY : 0)
                | (route.streamResume() ? STREAM_RESUME : 0));
        output.writeVarLong(route.gapAimMs(), true);
    }

    /** The number of parts and one, or 0 where there is no list. */
    private static void writeSplit(Output output, List<RouteConfig.WeightedBackend> split) {
        output.writeVarInt(split == null ? 0 : split.size() + 1, true);
        if (split != null) {
            for (RouteConfig.WeightedBackend part : split) {
                output.writeString(part.backend());
                output.writeDouble(part.weight());
            }
        }
    }

    @Override
    public RouteConfig read(Kryo kryo, Input input, Class<? extends RouteConfig> type) {
        String name = input.readString();
        String host = input.readString();
        String pathPrefix = input.readString();
        String routeType = input.readString();
        long timeoutMs = input.readVarLong(true);
        long targetLatencyMs = input.readVarLong(true);
        int priority = input.readVarInt(true);
        String backend = input.readString();
        List<RouteConfig.WeightedBackend> split = readSplit(input);
        int maxAttempts = input.readVarInt(true);
        int flags = input.readByte();
        long gapAimMs = input.readVarLong(true);
        return new RouteConfig(name, host, pathPrefix, routeType, timeoutMs, targetLatencyMs, priority, backend, split,
                maxAttempts, (flags & IS_PUBLIC) != 0, (flags & SESSION_AFFINITY) != 0, (flags & STREAM_RESUME) != 0,
                gapAimMs);
    }

    private static List<RouteConfig.WeightedBackend> readSplit(Input input) {
        int size = input.readVarInt(true) - 1;
        if (size < 0) {
            return null;
        }
        List<RouteConfig.WeightedBackend> split = new ArrayList<>(Math.min(size, input.limit() - input.position()));
        for (int i = 0; i < size; i++) {
            split.add(new RouteConfig.WeightedBackend(input.readString(), input.readDouble()));
        }
        return split;
    }
}
