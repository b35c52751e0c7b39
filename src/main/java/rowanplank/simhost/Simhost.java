package rowanplank.simhost;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rowanplank.balancer.Balancer;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Server;
import rowanplank.balancer.BalancerApi.Settings;
import rowanplank.config.ConfigException;
import rowanplank.config.SettingsReader;

/** Hosts balancer instances on the simulator's wire: reads batches of events, writes one reply to each. */
public final class Simhost {
    private static final int HEADER_BYTES = 16;

    private final Map<Integer, Balancer> instances = new LinkedHashMap<>();
    private final Map<Integer, List<Server>> lists = new LinkedHashMap<>();
    private final ReplyWriter reply = new ReplyWriter();

    /** @return the exit status: 2 for input that is not what the wire allows */
    public static int run() throws IOException {
        try {
            new Simhost().run(System.in, System.out);
            return 0;
        } catch (MalformedFrameException e) {
            System.err.println("rowanplank simhost: " + e.getMessage());
            return 2;
        }
    }

    /** Serves batches until the end of input. */
    void run(InputStream in, OutputStream out) throws IOException {
        byte[] header = new byte[HEADER_BYTES];
        int read;
        while ((read = in.readNBytes(header, 0, HEADER_BYTES)) > 0) {
            if (read < HEADER_BYTES) {
                throw new MalformedFrameException("input ends within a batch header");
            }
            ByteBuffer h = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
            double now = h.getDouble(0);
            int length = h.getInt(8);
            int count = h.getInt(12);
            if (length < 0 || count < 0 || (long) count * EventReader.RECORD_BYTES > length) {
                throw new MalformedFrameException(count + " records do not fit into " + length + " bytes");
            }
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new MalformedFrameException("input ends within a batch");
            }
            answer(now, new EventReader(body, count));
            reply.writeTo(out);
            out.flush();
        }
    }

    private void answer(double now, EventReader events) {
        reply.clear();
        while (events.next()) {
            if (events.code() == EventReader.LIST) {
                lists.put(events.listNumber(), events.entries());
                continue;
            }
            int id = events.instance();
            reply.actFor(id);
            try {
                deliver(now, id, events);
            } catch (MalformedFrameException e) {
                throw e;
            } catch (RuntimeException e) {
                reply.fault(e.toString());
            }
        }
    }

    private void deliver(double now, int id, EventReader e) {
        if (e.code() == EventReader.INIT) {
            instances.put(id, new Balancer(settings(e.settings()), e.seed(), reply));
            return;
        }
        if (e.code() == EventReader.STOP) {
            instances.remove(id);
            return;
        }
        Balancer balancer = instances.get(id);
        if (balancer == null) {
            throw new MalformedFrameException("event for instance " + id + ", which was never started");
        }
        switch (e.code()) {
            case EventReader.SERVERS -> balancer.onServers(now, e.listKind(), servers(e));
            case EventReader.REQUEST -> balancer.onRequest(now, e.request());
            case EventReader.STREAM -> balancer.onStreamStarted(now, e.requestId(), e.attempt());
            case EventReader.OUTCOME -> balancer.onOutcome(now, e.requestId(), e.attempt(), e.outcome(),
                    e.latency(), e.concluded());
            case EventReader.PROBED, EventReader.PEER -> { } // answers to actions that the module never takes
            case EventReader.GONE -> balancer.onClientLeft(now, e.requestId());
            case EventReader.TIMER -> balancer.onTimer(now, e.token());
            default -> throw new MalformedFrameException("unknown event code " + e.code());
        }
    }

    private static Settings settings(String text) {
        try {
            return SettingsReader.parse(text).module();
        } catch (ConfigException e) {
            throw new MalformedFrameException(e.getMessage());
        }
    }

    private List<Server> servers(EventReader e) {
        if (e.listKind() == ListKind.FAILED) {
            return List.of();
        }
        List<Server> list = lists.get(e.membersList());
        if (list == null) {
            throw new MalformedFrameException("members name list " + e.membersList() + ", which was never given");
        }
        return list;
    }
}
