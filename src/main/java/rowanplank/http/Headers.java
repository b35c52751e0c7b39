package rowanplank.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Which headers pass from end to end, and which are a matter of one connection (RFC 9110, 7.6.1). */
public final class Headers {
    private static final int MOST_TIMEOUT_DIGITS = 9;
    private static final int MOST_TIMEOUT_DECIMALS = 6;

    private Headers() { }

    /** @param header makes what the caller keeps of a name and a value */
    public static <T> List<T> endToEnd(HttpFields fields, BiFunction<String, String, T> header) {
        List<String> named =
                fields.contains(HttpHeader.CONNECTION) ? fields.getCSV(HttpHeader.CONNECTION, false) : List.of();
        List<T> passed = new ArrayList<>(fields.size());
        for (HttpField f : fields) {
            boolean ofOneHop = isOfOneHop(f.getLowerCaseName()) || !named.isEmpty() && isNamed(f, named);
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

    private static boolean isNamed(HttpField field, List<String> named) {
        return named.stream().anyMatch(n -> n.toLowerCase(Locale.ROOT).equals(field.getLowerCaseName()));
    }

    public static <T> HttpFields.Mutable fields(List<T> headers, Function<T, String> name, Function<T, String> value) {
        HttpFields.Mutable fields = HttpFields.build();
        headers.forEach(h -> fields.add(name.apply(h), value.apply(h)));
        return fields;
    }

    /**
     * How long a client says that it waits: a number with a unit, {@code m} for milliseconds, {@code u} for
     * microseconds; up to nine digits, and up to six after a point.
     *
     * @return null if the text is no time-out
     */
    public static Duration timeout(String text, Duration otherwise) {
        if (text == null) {
            return otherwise;
        }
        int end = text.length() - 1;
        long unit = text.endsWith("m") ? 1_000_000 : text.endsWith("u") ? 1000 : 0;
        int point = text.indexOf('.');
        long whole = number(text, 0, point < 0 ? end : point, MOST_TIMEOUT_DIGITS);
        long decimals = point < 0 ? 0 : number(text, point + 1, end, MOST_TIMEOUT_DECIMALS);
        if (unit == 0 || whole < 0 || decimals < 0) {
            return null;
        }
        for (int digits = point < 0 ? 0 : end - point - 1; digits < MOST_TIMEOUT_DECIMALS; digits++) {
            decimals *= 10;
        }
        return Duration.ofNanos(whole * unit + decimals * unit / 1_000_000);
    }

    /** What a request concerns: a hexadecimal number of up to 16 digits; 0, which is none, for any other text. */
    public static long key(String text) {
        try {
            return text == null || text.startsWith("+") ? 0 : Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** The decimal number in part of a text, which every request has: a pattern would cost twenty times as much. */
    private static long number(String text, int from, int to, int mostDigits) {
        if (to <= from || to - from > mostDigits) {
            return -1;
        }
        long number = 0;
        for (int i = from; i < to; i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            number = 10 * number + digit;
        }
        return number;
    }
}
