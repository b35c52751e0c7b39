package rowanplank.config;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Durations and sizes as text with their unit, as files hold them: what is written is read back as it was. */
public final class Units {
    private static final Pattern TEXT = Pattern.compile("([0-9]{1,19}(?:\\.[0-9]{1,19})?)([A-Za-z]{1,3})");
    /** Each unit and its nanoseconds, the longest first. */
    private static final Map<String, Long> SPANS = new LinkedHashMap<>();
    private static final Map<String, Long> SIZES = new LinkedHashMap<>();

    static {
        SPANS.put("h", 3_600_000_000_000L);
        SPANS.put("m", 60_000_000_000L);
        SPANS.put("s", 1_000_000_000L);
        SPANS.put("ms", 1_000_000L);
        SPANS.put("us", 1000L);
        SPANS.put("ns", 1L);
        SIZES.put("GiB", 1L << 30);
        SIZES.put("MiB", 1L << 20);
        SIZES.put("KiB", 1L << 10);
        SIZES.put("B", 1L);
    }

    private Units() { }

    /** @return null if the text is no number with one of the units h, m, s, ms, us, ns, or no whole nanoseconds */
    public static Duration duration(String text) {
        Long nanos = amount(text, SPANS);
        return nanos == null ? null : Duration.ofNanos(nanos);
    }

    /** In the largest unit of which it is a whole number, but for minutes and hours, which are harder to compare. */
    public static String format(Duration span) {
        long nanos = span.toNanos();
        String unit = nanos == 0 || nanos % SPANS.get("s") == 0 ? "s" : nanos % SPANS.get("ms") == 0 ? "ms"
                : nanos % SPANS.get("us") == 0 ? "us" : "ns";
        return nanos / SPANS.get(unit) + unit;
    }

    /** @return null if the text is no number with one of the units B, KiB, MiB, GiB, or no whole bytes */
    public static Long bytes(String text) {
        return amount(text, SIZES);
    }

    private static Long amount(String text, Map<String, Long> units) {
        Matcher parts = TEXT.matcher(text);
        if (!parts.matches() || !units.containsKey(parts.group(2))) {
            return null;
        }
        try {
            return new BigDecimal(parts.group(1)).multiply(BigDecimal.valueOf(units.get(parts.group(2))))
                    .longValueExact();
        } catch (ArithmeticException e) {
            return null;
        }
    }
}
