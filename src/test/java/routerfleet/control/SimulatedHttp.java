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

/** Calls of operators and servers: a byte pipe to the real HTTP side of a control service, in virtual time. */
final class SimulatedHttp {
    private static final long TIMEOUT_MS = 1_000;
    private static final String HEAD_END = "\r\n\r\n";
    /** A segment that a cut has swallowed may come through again up to so much later. */
    private static final int MOST_RETRANSMISSION_MS = 8_000;

    /** Whether something gets from one place to another: callers' places and machines' addresses. */
    interface Links {
        boolean canReach(String from, String to);
    }

    /** An answer; status 0 where none came in time. */
    record Response(int status, String body) {
        static final Response NONE = new Response(0, "");
    }

    private final VirtualWorld world;
    private final Random random;
    private final InjectedFault fault;
    private final Links ways;
    private double lostAnswers;

    SimulatedHttp(VirtualWorld world, long seed, InjectedFault fault) {
        this(world, seed, fault, (from, to) -> true);
    }

    SimulatedHttp(VirtualWorld world, long seed, InjectedFault fault, Links ways) {
        this.ways = ways;
        this.fault = fault;
        this.world = world;
        random = new Random(seed);
    }

    /** So large a part of the answers is lost from now on. */
    void dropResponses(double part) {
        lostAnswers = part;
    }

    static String request(String method, String path, String headers, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "Content-Length: " + body.length() + HEAD_END
                + body;
    }

    /** Sends requests in one segment. @param answers given as many answers as requests were sent, in their order */
    void call(SimulatedMachine machine, List<String> requests, Consumer<List<Response>> answers) {
        Call call = new Call(requests.size(), answers);
        world.afterMs(TIMEOUT_MS, call::finish);
        world.afterMs(1 + random.nextInt(2), () -> deliver(machine, String.join("", requests), call));
    }

    /** Sends one request from a place; what a cut swallows on its way may come through later. */
    void callFrom(String place, SimulatedMachine machine, String request, Consumer<Response> answer) {
        Call call = new Call(1, answers -> answer.accept(answers.get(0)));
        call.place = place;
        world.afterMs(TIMEOUT_MS, call::finish);
        world.afterMs(1 + random.nextInt(2), () -> deliverFrom(place, machine, request, call));
    }

    private void deliverFrom(String place, SimulatedMachine machine, String request, Call call) {
        if (ways.canReach(place, machine.ip)) {
            deliver(machine, request, call);
        } else if (random.nextInt(3) == 0) {
            world.afterMs(1 + random.nextInt(MOST_RETRANSMISSION_MS), () -> {
                if (ways.canReach(place, machine.ip)) {
                    deliver(machine, request, call);
                }
            });
        }
    }

    /** Sends one request. */
    void call(SimulatedMachine machine, String request, Consumer<Response> answer) {
        call(machine, List.of(request), answers -> answer.accept(answers.get(0)));
    }

    private void deliver(SimulatedMachine machine, String bytes, Call call) {
        VirtualProcess process = machine.process();
        if (machine.handler() == null) {
            if (machine.isUp()) {
                call.finish(); // nobody listens yet: refused
            }
            return;
        }
        ControlHttp.Handler handler = machine.handler();
        process.execute(() -> {
            EmbeddedChannel channel = new EmbeddedChannel();
            channel.pipeline().addLast(new Pipe(call, process, machine.ip));
            fault.install(channel.pipeline(), handler);
            channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
            call.whenGivenUp(() -> process.execute(channel::close));
        });
    }

    private final class Call {
        private final int expected;
        private final Consumer<List<Response>> answers;
        private final StringBuilder received = new StringBuilder();
        private String place = "";
        private boolean over;
        private boolean givenUp;
        private Runnable close = () -> { };

        Call(int expected, Consumer<List<Response>> answers) {
            this.expected = expected;
            this.answers = answers;
        }

        void received(String bytes) {
            received.append(bytes);
            if (read().size() == expected) {
                finish();
            }
        }

        /** Who gives up closes its connection; what comes later than that is followed by the end of its connection. */
        void whenGivenUp(Runnable closing) {
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
            if (!over) {
                over = true;
                List<Response> all = new ArrayList<>(read());
                if (all.size() < expected) {
                    givenUp = true;
                    close.run();
                }
                while (all.size() < expected) {
                    all.add(Response.NONE);
                }
                answers.accept(all);
            }
        }
    }

    /** Takes what the pipeline writes, and lets it reach the client, or be lost. */
    private final class Pipe extends ChannelOutboundHandlerAdapter {
        private final Call call;
        private final VirtualProcess process;
        private final String ip;
        private long arrives;
        private boolean lost;

        Pipe(Call call, VirtualProcess process, String ip) {
            this.call = call;
            this.process = process;
            this.ip = ip;
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                String text = bytes.toString(StandardCharsets.US_ASCII);
                bytes.release();
                lost |= random.nextDouble() < lostAnswers || !ways.canReach(ip, call.place);
                if (process.isAlive() && !lost) {
                    arrives = Math.max(arrives, world.nowMs() + 1 + random.nextInt(2));
                    world.afterMs(arrives - world.nowMs(), () -> call.received(text));
                }
            }
            promise.setSuccess();
        }
    }
}
