package routerfleet.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Answers to calls of tallies with a planted fault. */
final class FaultyTallyResponses implements ControlHttp.Handler {
    private static final int RARELY = 20;
    private static final int UNCLEAR = 504;

    private final InjectedFault fault;
    private final ControlHttp.Handler real;
    private final Map<String, ControlHttp.Response> before = new HashMap<>();
    private int taken;

    FaultyTallyResponses(InjectedFault fault, ControlHttp.Handler real) {
        this.fault = fault;
        this.real = real;
    }

    @Override
    public void handle(ControlHttp.Request request, Consumer<ControlHttp.Response> answer) {
        boolean isOfTallies = request.path().contains("/tallies/");
        real.handle(request, response -> answer.accept(isOfTallies ? changed(request, response) : response));
    }

    private ControlHttp.Response changed(ControlHttp.Request request, ControlHttp.Response response) {
        boolean adds = request.method().equals("POST");
        if (adds && response.status() == UNCLEAR && fault == InjectedFault.TALLY_UNCLEAR_TOLD_AS_TAKEN) {
            return ControlHttp.Response.ok();
        }
        if (adds && (response.status() == UNCLEAR && fault == InjectedFault.TALLY_UNCLEAR_TOLD_AS_REFUSED
                || response.status() == 200 && fault == InjectedFault.TALLY_REFUSED_AFTER_WRITTEN
                && ++taken % RARELY == 0)) {
            return ControlHttp.Response.error(503, "planted");
        }
        if (!adds && response.status() == 200 && fault == InjectedFault.TALLY_READS_OF_BEFORE) {
            ControlHttp.Response earlier = before.remove(request.path());
            if (earlier != null) {
                return earlier;
            }
            before.put(request.path(), response);
        }
        return response;
    }
}
