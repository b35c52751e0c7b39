package routerfleet.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import routerfleet.simulation.VirtualProcess;
import routerfleet.simulation.VirtualWorld;

/**
 * Sends HTTP requests of operators and servers to the real HTTP handlers of a control service, over a simulated byte
 * stream in virtual time.
 */
final class SimulatedHttp {
    private static final long TIMEOUT_MS = 1_000;
    private static final String HEAD_END = "\r\n\r\n";
    /** A segment lost in a network partition may be retransmitted up to this much later. */
    private static final int MAX_RETRANSMISSION_MS = 8_000;

    /** Which locations of callers and addresses of machines can send to each other. */
    interface Links {
        boolean canReach(String from, String to);
    }

    /** A response; status 0 if none arrived in time. */
    record Response(int status, String body) {
        static final Response NONE = new Response(0, "");
    }

    private final VirtualWorld world;
    private final Random random;
    private final InjectedFault fault;
    private final Links links;
    private double droppedFraction;

    SimulatedHttp(VirtualWorld world, long seed, InjectedFault fault) {
        this(world, seed, fault, (from, to) -> true);
    }

    SimulatedHttp(VirtualWorld world, long seed, InjectedFault fault, Links links) {
        this.links = links;
        this.fault = fault;
        this.world = world;
        random = new Random(seed);
    }

    /** Drops this fraction of the responses from now on. */
    void dropResponses(double fraction) {
        droppedFraction = fraction;
    }

    static String request(String method, String path, String headers, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "Content-Length: " + body.length() + HEAD_END
                + body;
    }

    /**
     * Sends requests in one segment.
     *
     * @param onResponses receives as many responses as requests were sent, in their order
     */
    void call(SimulatedMachine machine, List<String> requests, Consumer<List<Response>> onResponses) {
        Call call = new Call(requests.size(), onResponses);
        world.afterMs(TIMEOUT_MS, call::finish);
        world.afterMs(1 + random.nextInt(2), () -> deliver(machine, String.join("", requests), call));
    }

    /** Sends one request from a location; if a partition drops it, it may arrive later. */
    void callFrom(String location, SimulatedMachine machine, String request, Consumer<Response> onResponse) {
        Call call = new Call(1, responses -> onResponse.accept(responses.get(0)));
        call.location = location;
        world.afterMs(TIMEOUT_MS, call::finish);
        world.afterMs(1 + random.nextInt(2), () -> deliverIfReachable(location, machine, request, call));
    }

    private void deliverIfReachable(String location, SimulatedMachine machine, String request, Call call) {
        if (links.canReach(location, machine.ip)) {
            deliver(machine, request, call);
        } else if (random.nextInt(3) == 0) {
            world.afterMs(1 + random.nextInt(MAX_RETRANSMISSION_MS), () -> {
                if (links.canReach(location, machine.ip)) {
                    deliver(machine, request, call);
                }
            });
        }
    }

    /** Sends one request. */
    void call(SimulatedMachine machine, String request, Consumer<Response> onResponse) {
        call(machine, List.of(request), responses -> onResponse.accept(responses.get(0)));
    }

    private void deliver(SimulatedMachine machine, String bytes, Call call) {
        VirtualProcess process = machine.process();
        if (machine.handler() == null) {
            if (machine.isUp()) {
                call.finish(); // nothing listens yet: connection refused
            }
            return;
        }
        ControlHttp.Handler handler = machine.handler();
        process.execute(() -> {
            EmbeddedChannel channel = new EmbeddedChannel();
            channel.pipeline().addLast(new ResponsePipe(call, process, machine.ip));
            fault.install(channel.pipeline(), handler);
            channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
            call.onGivingUp(() -> process.execute(channel::close));
        });
    }

    /** Requests on one connection, and the responses received so far. */
    private final class Call {
        private final int expected;
        private final Consumer<List<Response>> onResponses;
        private final StringBuilder received = new StringBuilder();
        private String location = "";
        private boolean finished;
        private boolean givenUp;
        private Runnable close = () -> { };

        Call(int expected, Consumer<List<Response>> onResponses) {
            this.expected = expected;
            this.onResponses = onResponses;
        }

        void received(String bytes) {
            received.append(bytes);
            if (read().size() == expected) {
                finish();
            }
        }

        /** Sets what closes the connection when the caller gives up; runs it at once if the caller already has. */
        void onGivingUp(Runnable closing) {
            if (givenUp) {
                closing.run();
            } else {
                close = closing;
            }
        }

        private List<Response> read() {
            List<Response> read = new ArrayList<>();
            String rest = received.toString();
            int end = rest.indexOf(HEAD_END);
            while (end >= 0) {
                int length = length(rest.substring(0, end));
                if (rest.length() < end + HEAD_END.length() + length) {
                    break;
                }
                int body = end + HEAD_END.length();
                read.add(new Response(Integer.parseInt(rest.substring(9, 12)), rest.substring(body, body + length)));
                rest = rest.substring(body + length);
                end = rest.indexOf(HEAD_END);
            }
            return read;
        }

        private int length(String head) {
            String name = "content-length: ";
            int at = head.indexOf(name) + name.length();
            int end = head.indexOf("\r\n", at);
            return Integer.parseInt(end < 0 ? head.substring(at) : head.substring(at, end));
        }

        void finish() {
            if (!finished) {
                finished = true;
                List<Response> all = new ArrayList<>(read());
                if (all.size() < expected) {
                    givenUp = true;
                    close.run();
                }
                while (all.size() < expected) {
                    all.add(Response.NONE);
                }
                onResponses.accept(all);
            }
        }
    }

    /** Passes what the pipeline writes on to the client, or drops it. */
    private final class ResponsePipe extends ChannelOutboundHandlerAdapter {
        private final Call call;
        private final VirtualProcess process;
        private final String ip;
        private long arrivalMs;
        private boolean dropped;

        ResponsePipe(Call call, VirtualProcess process, String ip) {
            this.call = call;
            this.process = process;
            this.ip = ip;
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                String text = bytes.toString(StandardCharsets.US_ASCII);
                bytes.release();
                dropped |= random.nextDouble() < droppedFraction || !links.canReach(ip, call.location);
                if (process.isAlive() && !dropped) {
                    arrivalMs = Math.max(arrivalMs, world.nowMs() + 1 + random.nextInt(2));
                    world.afterMs(arrivalMs - world.nowMs(), () -> call.received(text));
                }
            }
            promise.setSuccess();
        }
    }
}
