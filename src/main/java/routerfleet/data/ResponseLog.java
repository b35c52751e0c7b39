package routerfleet.data;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import routerfleet.log.Loggers;

/** Counts how the responses to clients ended, and logs each one that was broken off after its head had been written. */
final class ResponseLog {
    private static final System.Logger LOG = Loggers.get("routerfleet.data");

    private final Map<ResponseEnd, Integer> ended = new EnumMap<>(ResponseEnd.class);
    private final Map<ResponseEnd, Integer> brokenOff = new EnumMap<>(ResponseEnd.class);

    /** Records a response that the client received whole, or a client that left. */
    void ended(ResponseEnd end) {
        ended.merge(end, 1, Integer::sum);
    }

    /** Records a response that was broken off. @param description of the request and the reason */
    void brokenOff(ResponseEnd end, Supplier<String> description) {
        brokenOff.merge(end, 1, Integer::sum);
        LOG.log(System.Logger.Level.INFO, () -> "response broken off, " + name(end) + ": " + description.get());
    }

    /** The counts since the start of the process. */
    String summary() {
        StringBuilder text = new StringBuilder("responses:");
        ended.forEach((end, count) -> text.append(' ').append(name(end)).append(' ').append(count).append(','));
        text.append(" broken off");
        brokenOff.forEach((end, count) -> text.append(' ').append(name(end)).append(' ').append(count).append(','));
        return text.append(" in all ").append(brokenOff.values().stream().mapToInt(Integer::intValue).sum()).toString();
    }

    private static String name(ResponseEnd end) {
        return end.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
