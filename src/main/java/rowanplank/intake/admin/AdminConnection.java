package rowanplank.intake.admin;

import com.eclipsesource.json.JsonObject;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.io.EndPoint;
import rowanplank.http.Messages;
import rowanplank.http.RequestReader;
import rowanplank.ledger.Command;
import rowanplank.ledger.Result;
import rowanplank.net.LoopConnection;

/** One operator's connection: one call, one answer, and its end. */
final class AdminConnection extends LoopConnection {
    private static final String FLEET = "/api/fleet";
    private static final String LEASE = "/lease/";
    private static final String RELEASE = "/release/";
    private static final String ADD = "/voters/add/";
    private static final String REMOVE = "/voters/remove/";
    private static final String BUDGET = "/budget/[A-Za-z0-9._/-]{1,32}/[0-9]{1,10}";
    private static final String WORK = "/work/";
    private static final String NAME = "[A-Za-z0-9._-]{1,64}";
    private static final String LIST = "/work";
    private static final String PLAN = "/work/plan/" + NAME + "(?:," + NAME + ")*(?:/first)?";

    private final AdminDoor door;
    private final Instant opened;
    private final RequestReader reader = new RequestReader();
    private ByteBuffer unread = ByteBuffer.allocate(0);
    private boolean answered;

    AdminConnection(EndPoint endPoint, AdminDoor door, Instant opened) {
        super(endPoint, door.loop);
        this.door = door;
        this.opened = opened;
    }

    Instant opened() {
        return opened;
    }

    /** Makes room for a newcomer, but not over a call that has come and was not yet read. */
    void giveWay() {
        if (!answered) {
            lastLook();
        }
        close();
    }

    void timeUp() {
        if (answered) {
            close();
        } else {
            answer(408, "no whole call has come\n", null);
        }
    }

    @Override
    protected void onBytes(ByteBuffer bytes) {
        if (answered) {
            return;
        }
        unread = ByteBuffer.allocate(unread.remaining() + bytes.remaining()).put(unread).put(bytes).flip();
        if (!reader.read(unread)) {
            return;
        }
        if (reader.error() != 0) {
            answer(reader.error(), "this can't be read as a call\n", null);
        } else {
            call(path());
        }
    }

    private String path() {
        try {
            return HttpURI.from(reader.target()).getPath();
        } catch (RuntimeException e) {
            return null;
        }
    }

    private void call(String path) {
        if (path != null && path.startsWith(FLEET)) {
            fleet(path.substring(FLEET.length()));
            return;
        }
        switch (path == null ? "" : path) {
            case "/api/ready" -> {
                if (allowed("GET")) {
                    answer(door.isReady() ? 200 : 503, door.state(), null);
                }
            }
            case "/api/evacuate" -> {
                if (allowed("POST")) {
                    door.evacuate();
                    answer(200, door.state(), null);
                }
            }
            case "/api/rejoin" -> {
                if (allowed("POST")) {
                    door.rejoin();
                    answer(200, door.state(), null);
                }
            }
            case "" -> answer(400, "this can't be read as a call\n", null);
            default -> answer(404, "there are /api/ready, /api/evacuate and /api/rejoin\n", null);
        }
    }

    /** @param what the path behind {@link #FLEET} */
    private void fleet(String what) {
        if (door.fleet() == null) {
            answer(404, "this node has no part in a fleet\n", null);
        } else if (what.isEmpty()) {
            if (allowed("GET")) {
                answer(200, door.fleet().status() + "\n", null);
            }
        } else if (what.matches(LEASE + NAME)) {
            if (allowed("GET")) {
                door.fleet().read(what.substring(LEASE.length()), this::told);
            }
        } else if (what.matches(RELEASE + NAME)) {
            if (allowed("POST")) {
                boolean holds = door.fleet().release(what.substring(RELEASE.length()));
                answer(holds ? 200 : 409, holds ? "{\"releasing\":true}\n" : "this node does not hold it\n", null);
            }
        } else if (what.matches(ADD + NAME) || what.matches(REMOVE + NAME)) {
            if (allowed("POST")) {
                boolean add = what.startsWith(ADD);
                taken(door.fleet().changeVoters(what.substring(add ? ADD.length() : REMOVE.length()), add));
            }
        } else if (what.equals(LIST)) {
            if (allowed("GET")) {
                door.fleet().work(work -> told(work, "no leader answered, or this node has no [fleet.work] in its file\n"));
            }
        } else if (what.matches(PLAN)) {
            if (allowed("GET")) {
                String[] words = what.split("/");
                JsonObject plan = door.fleet().plan(List.of(words[3].split(",")), words.length > 4);
                answer(plan == null ? 409 : 200, plan == null ? "this node is no voter, or does not know one of these machines\n"
                        : plan + "\n", null);
            }
        } else if (what.startsWith(WORK)) {
            work(WorkCalls.read(what, door.name()));
        } else if (what.matches(BUDGET)) {
            if (allowed("POST")) {
                int last = what.lastIndexOf('/');
                taken(door.fleet().resize(what.substring(what.indexOf('/', 1) + 1, last), Long.parseLong(what.substring(last + 1))));
            }
        } else {
            answer(404, "there are /api/fleet, and in it lease/NAME, release/NAME, voters/add/NAME, voters/remove/NAME, "
                    + "budget/NAME/WHOLE\n", null);
        }
    }

    private void work(Command.Staff words) {
        if (words == null) {
            answer(404, "there are work/ask, done, cancel, skip, forget, hold, go and plan: see fleet work --help\n", null);
        } else if (allowed("POST")) {
            door.fleet().say(words, result -> said(words, result));
        }
    }

    private void said(Command.Staff words, Result result) {
        if (answered || isOver()) {
            return;
        }
        String refused = result == null ? "it is not known whether it was done: no leader answered in time; ask again with number "
                + words.id() : WorkCalls.refused(words, result);
        answer(result == null ? 503 : refused == null ? 200 : 409, refused == null ? "{\"done\":true,\"number\":" + words.id() + "}\n"
                : refused + "\n", null);
    }

    private void taken(String refused) {
        answer(refused == null ? 202 : 409, refused == null ? "{\"taken\":true}\n" : refused + "\n", null);
    }

    private void told(JsonObject holder) {
        told(holder, "no leader could be found in time\n");
    }

    private void told(JsonObject what, String otherwise) {
        if (!answered && !isOver()) {
            answer(what == null ? 503 : 200, what == null ? otherwise : what + "\n", null);
        }
    }

    private boolean allowed(String method) {
        if (!reader.method().equals(method)) {
            answer(405, method + " is the method here\n", method);
        }
        return reader.method().equals(method);
    }

    private void answer(int status, String text, String allow) {
        answered = true;
        HttpFields.Mutable fields = HttpFields.build().put(HttpHeader.CONNECTION, "close")
                .put(HttpHeader.CONTENT_TYPE, text.startsWith("{") ? "application/json" : "text/plain; charset=utf-8");
        if (allow != null) {
            fields.put(HttpHeader.ALLOW, allow);
        }
        write(() -> getEndPoint().shutdownOutput(),
                Messages.response(status, fields, text.getBytes(StandardCharsets.UTF_8)));
    }

    /** The other side has its answer, or wants none. */
    @Override
    protected void onEnd() {
        close();
    }

    @Override
    protected void onOver() {
        door.over(this);
    }
}
