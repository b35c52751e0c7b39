package rowanplank.lab.client;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.regex.Pattern;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.site.Ids;
import rowanplank.lab.site.Works;

/**
 * A request as a client writes it: GET where it is safe to repeat, else POST with a small body. What its form is hangs
 * on class and number alone.
 */
record PageRequest(long number, String method, String target, String body) {
    private static final Pattern SECONDS = Pattern.compile("\\d{1,9}(\\.\\d{1,9})?");
    private static final String REPEATABLE = "repeatable";

    static PageRequest of(RequestClass type, long number) {
        boolean repeatable = type.effect().equals(REPEATABLE);
        return new PageRequest(number, repeatable ? "GET" : "POST", "/" + type.name() + "/page?n=" + number,
                repeatable ? "" : "n=" + number);
    }

    /** Makes it known to page servers. */
    void enter(Works works, long work) {
        works.put(number, work, Works.form(method, target, body.getBytes(StandardCharsets.US_ASCII)));
    }

    /** The first line, and whom it is for. */
    String line() {
        return method + ' ' + target + " HTTP/1.1\r\nHost: pages.lab\r\n";
    }

    String id() {
        return "X-Request-ID: " + Ids.text(number) + "\r\n";
    }

    /** How long the client will wait, in microseconds. */
    static String timeout(Duration wait) {
        return "X-Timeout: " + Math.max(1, wait.toNanos() / 1000) + "u\r\n";
    }

    /** @param fields those beside host, id and length, each ending its line */
    String text(String fields) {
        String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
        return line() + id() + fields + length + "\r\n" + body;
    }

    /** A Retry-After in seconds, whole or decimal; null if the text is none. */
    static Duration retryAfter(String text) {
        return text == null || !SECONDS.matcher(text).matches() ? null
                : Duration.ofNanos(new BigDecimal(text).movePointRight(9).longValue());
    }
}
