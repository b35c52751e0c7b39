package rowanplank.http;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Which headers pass from end to end, and which are a matter of one connection (RFC 9110, 7.6.1). */
public final class Headers {
    private static final Pattern TIMEOUT = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)([mu])");

    private Headers() { }

    /** @param header makes what the caller keeps of a name and a value */
    public static <T> List<T> endToEnd(HttpFields fields, BiFunction<String, String, T> header) {
        List<String> named = fields.getCSV(HttpHeader.CONNECTION, false);
        List<T> passed = new ArrayList<>(fields.size());
        for (HttpField f : fields) {
            boolean ofOneHop = isOfOneHop(f.getLowerCaseName())
                    || named.stream().anyMatch(n -> n.toLowerCase(Locale.ROOT).equals(f.getLowerCaseName()));
            if (!ofOneHop && f.getValue() != null) {
                passed.add(header.apply(f.getName(), f.getValue()));
            }
        }
        return passed;
    }

    /** Those of one hop, those that every message is given anew, and those that only the node is told. */
    private static boolean isOfOneHop(String name) {
        return switch (name) {
            case "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
                    "trailer", "transfer-encoding", "upgrade", "expect", "content-length", "x-timeout", "x-server-load",
                    "x-not-processed" -> true;
            default -> false;
        };
    }

    public static <T> HttpFields.Mutable fields(List<T> headers, Function<T, String> name, Function<T, String> value) {
        HttpFields.Mutable fields = HttpFields.build();
        headers.forEach(h -> fields.add(name.apply(h), value.apply(h)));
        return fields;
    }

    /**
     * How long a client says that it waits: a number with a unit, {@code m} for milliseconds, {@code u} for microseconds.
     *
     * @return null if the text is no time-out
     */
    public static Duration timeout(String text, Duration otherwise) {
        if (text == null) {
            return otherwise;
        }
        Matcher m = TIMEOUT.matcher(text);
        return m.matches() ? Duration.ofNanos(new BigDecimal(m.group(1))
                .movePointRight(m.group(2).equals("m") ? 6 : 3).longValue()) : null;
    }
}
