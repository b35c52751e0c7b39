package routerfleet.control;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stub implementation of tallies without network and disk: all machines share one state, which only an injected flaw
 * can lose. It serves to test the simulation itself.
 */
final class TallyStub {
    /** The flaw of the stub. */
    enum Flaw {
        NONE, COUNTS_A_REPEAT, REFUSES_WHAT_IT_COUNTED, KEPT_BY_ONE_MACHINE, KEPT_IN_MEMORY, FORGETS_A_UID_AT_A_START,
        LARGEST_AMOUNT_WINS, TOTAL_LAGS, REFUSES_WITHOUT_NEED
    }

    private static final Pattern PATH = Pattern.compile("/rowanplank/tallies/([^/]+)/(patch|get)");
    private static final Pattern BODY = Pattern.compile("\\{\"uid\":\"([^\"]+)\",\"owner\":(\\d+)}");
    private static final int FLAW_INTERVAL = 40;

    private final Flaw flaw;
    private final Random random;
    private final Map<String, Map<String, Long>> sharedState = new HashMap<>();
    private final Map<String, Map<String, Map<String, Long>>> byMachine = new HashMap<>();
    private final Map<String, Integer> lives = new HashMap<>();
    private final Set<String> knownSinceStart = new HashSet<>();
    private int repeats;

    TallyStub(Flaw flaw, long seed) {
        this.flaw = flaw;
        random = new Random(seed);
    }

    /** Returns what handles a machine's tally calls in place of its control service. */
    UnaryOperator<ControlHttp.Handler> interceptor(SimulatedMachine machine) {
        return real -> (request, onResponse) -> {
            Matcher path = PATH.matcher(request.path());
            if (path.matches()) {
                handle(machine, path, new String(request.body(), StandardCharsets.US_ASCII), onResponse);
            } else {
                real.handle(request, onResponse);
            }
        };
    }

    private Map<String, Map<String, Long>> stateOf(SimulatedMachine machine) {
        boolean restarted = !Integer.valueOf(machine.processStarts())
                .equals(lives.put(machine.ip, machine.processStarts()));
        if (flaw == Flaw.KEPT_IN_MEMORY && restarted) {
            byMachine.remove(machine.ip);
        }
        if (flaw == Flaw.FORGETS_A_UID_AT_A_START && restarted && machine.processStarts() > 1) {
            knownSinceStart.clear();
        }
        boolean perMachine = flaw == Flaw.KEPT_BY_ONE_MACHINE || flaw == Flaw.KEPT_IN_MEMORY;
        return perMachine ? byMachine.computeIfAbsent(machine.ip, ip -> new HashMap<>()) : sharedState;
    }

    private void handle(SimulatedMachine machine, Matcher path, String body, Consumer<ControlHttp.Response> onResponse) {
        Map<String, Long> tally = stateOf(machine).computeIfAbsent(path.group(1), name -> new HashMap<>());
        if (path.group(2).equals("get")) {
            long total = tally.values().stream().mapToLong(Long::longValue).sum();
            boolean isStale = flaw == Flaw.TOTAL_LAGS && random.nextInt(FLAW_INTERVAL) == 0;
            onResponse.accept(total(isStale ? total / 2 : total));
            return;
        }
        Matcher add = BODY.matcher(body);
        if (!add.matches() || flaw == Flaw.REFUSES_WITHOUT_NEED && random.nextInt(FLAW_INTERVAL) == 0) {
            onResponse.accept(ControlHttp.Response.error(503, "planted"));
            return;
        }
        count(machine, tally, add.group(1), Long.parseLong(add.group(2)));
        boolean refuses = flaw == Flaw.REFUSES_WHAT_IT_COUNTED && random.nextInt(FLAW_INTERVAL) == 0;
        onResponse.accept(refuses ? ControlHttp.Response.error(503, "planted") : ControlHttp.Response.ok());
    }

    private void count(SimulatedMachine machine, Map<String, Long> tally, String uid, long amount) {
        boolean known = tally.containsKey(uid);
        boolean isNew = knownSinceStart.add(uid + machine.ip);
        boolean forgotten = flaw == Flaw.FORGETS_A_UID_AT_A_START && known && isNew;
        if (known && (forgotten || flaw == Flaw.COUNTS_A_REPEAT && random.nextInt(FLAW_INTERVAL) == 0)) {
            tally.put(uid + "again" + ++repeats, amount);
        } else if (known && flaw == Flaw.LARGEST_AMOUNT_WINS) {
            tally.merge(uid, amount, Math::max);
            tally.merge(uid, amount + 1, (before, more) -> before + 1);
        } else {
            tally.putIfAbsent(uid, amount);
        }
    }

    private static ControlHttp.Response total(long total) {
        return new ControlHttp.Response(200, ("{\"total\":" + total + "}").getBytes(StandardCharsets.UTF_8));
    }
}
