package routerfleet.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Injects faults into the responses to tally calls. */
final class FaultyTallyResponses implements ControlHttp.Handler {
    private static final int FAULT_INTERVAL = 20;
    private static final int GATEWAY_TIMEOUT = 504;

    private final InjectedFault fault;
    private final ControlHttp.Handler real;
    private final Map<String, ControlHttp.Response> earlierReads = new HashMap<>();
    private int acceptedCount;

    FaultyTallyResponses(InjectedFault fault, ControlHttp.Handler real) {
        this.fault = fault;
        this.real = real;
    }

    @Override
    public void handle(ControlHttp.Request request, Consumer<ControlHttp.Response> onResponse) {
        boolean isTallyCall = request.path().contains("/tallies/");
        real.handle(request, response -> onResponse.accept(isTallyCall ? modified(request, response) : response));
    }

    private ControlHttp.Response modified(ControlHttp.Request request, ControlHttp.Response response) {
        boolean adds = request.method().equals("POST");
        if (adds && response.status() == GATEWAY_TIMEOUT && fault == InjectedFault.TALLY_UNCLEAR_TOLD_AS_TAKEN) {
            return ControlHttp.Response.ok();
        }
        if (adds && (response.status() == GATEWAY_TIMEOUT && fault == InjectedFault.TALLY_UNCLEAR_TOLD_AS_REFUSED
                || response.status() == 200 && fault == InjectedFault.TALLY_REFUSED_AFTER_WRITTEN
                && ++acceptedCount % FAULT_INTERVAL == 0)) {
            return ControlHttp.Response.error(503, "planted");
        }
        if (!adds && response.status() == 200 && fault == InjectedFault.TALLY_READS_OF_BEFORE) {
            ControlHttp.Response earlier = earlierReads.remove(request.path());
            if (earlier != null) {
                return earlier;
            }
            earlierReads.put(request.path(), response);
        }
        return response;
    }
}
