package rowanplank.lab.client;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import rowanplank.lab.client.BadScript.Then;
import rowanplank.lab.day.Day.RequestClass;
import rowanplank.lab.site.Works;

/** Writes down what each kind of bad client sends. None of it may be served, but for what is entered as work. */
final class BadScripts {
    private static final int PIECE = 1 << 14;
    private static final int MOST_GARBAGE = 2000;
    /** What each of many requests at once asks of a server: nanoseconds of a core. */
    private static final long LITTLE_WORK = 2_000_000;
    private static final String[] NO_DEADLINES = {"soon", "-5m", "1e3m", "480", "NaNm", "m"};
    private static final String[] NO_LENGTHS = {"12x", "0x10", "+5", "1 2", "4\r\nContent-Length: 5"};
    private static final String[] HUGE_LENGTHS = {"3000000000", "9223372036854775807", "99999999999999999999999"};

    private final List<RequestClass> classes;
    private final Works works;
    private final BadClients.Measures measures;

    BadScripts(List<RequestClass> classes, Works works, BadClients.Measures measures) {
        this.classes = List.copyOf(classes);
        this.works = works;
        this.measures = measures;
    }

    /** @param number the first of its numbers */
    BadScript of(BadKind kind, long number, UniformRandomProvider random) {
        RequestClass type = kind == BadKind.OTHERS_ID ? victimsClass(number)
                : classes.get(random.nextInt(classes.size()));
        PageRequest request = PageRequest.of(type, number);
        String wait = PageRequest.timeout(type.deadline());
        return switch (kind) {
            case GARBAGE -> stay(garbage(random));
            case ENDLESS_HEAD -> new BadScript(
                    longer(request.line() + request.id(), fillers()), Then.STAY, false);
            case WRONG_LENGTH -> random.nextBoolean() ? length(request, wait, "5000", "n=short")
                    : length(request, wait, of(NO_LENGTHS, random), "n=1\r\n");
            case NEGATIVE_LENGTH -> length(request, wait, "-" + (1 + random.nextInt(1000)), "");
            case HUGE_LENGTH -> length(request, wait, of(HUGE_LENGTHS, random), "n=1");
            case LONG_BODY -> longBody(request, wait, random.nextBoolean());
            case UNKNOWN_CLASS -> stay("GET /no-such-class/page?n=" + number + " HTTP/1.1\r\nHost: pages.lab\r\n"
                    + request.id() + wait + "\r\n");
            case ODD_DEADLINE -> stay(request.text("X-Timeout: " + of(NO_DEADLINES, random) + "\r\n"));
            case NO_ID -> stay(request.text(wait).replace(request.id(), ""));
            case OTHERS_ID -> stay(request.text(wait));
            case HALF_REQUEST -> half(request.text(wait), random);
            case PIPELINED -> pipelined(type, number, wait);
            case TWO_LENGTHS -> twoLengths(request, PageRequest.of(type, number + 1), wait);
            case REPEATED -> of(random.nextBoolean() ? BadKind.UNKNOWN_CLASS : BadKind.NO_ID, number, random);
            case SILENT -> new BadScript(Collections.emptyIterator(), Then.STAY, false);
        };
    }

    /** A request like any other, of which page servers know; it takes them long. */
    BadScript victim(long number) {
        RequestClass type = victimsClass(number);
        PageRequest request = PageRequest.of(type, number);
        request.enter(works, 2 * type.work().toNanos());
        return new BadScript(one(bytes(request.text(PageRequest.timeout(type.deadline())))), Then.STAY, true);
    }

    /** Victim and thief send the same: what comes when the victim has just been answered may be served. */
    private RequestClass victimsClass(long number) {
        return classes.get((int) (number / BadClients.NUMBERS % classes.size()));
    }

    private static byte[] garbage(UniformRandomProvider random) {
        byte[] bytes = new byte[1 + random.nextInt(MOST_GARBAGE)];
        random.nextBytes(bytes);
        return bytes;
    }

    private static BadScript length(PageRequest request, String wait, String length, String body) {
        return stay(request.line() + request.id() + wait + "Content-Length: " + length + "\r\n\r\n" + body);
    }

    private static BadScript half(String request, UniformRandomProvider random) {
        int length = 1 + random.nextInt(request.length() - 1);
        Then then = random.nextBoolean() ? Then.CLOSE : Then.END_SENDING;
        return new BadScript(one(bytes(request.substring(0, length))), then, false);
    }

    private BadScript longBody(PageRequest request, String wait, boolean chunked) {
        byte[] piece = new byte[PIECE];
        Arrays.fill(piece, (byte) 'x');
        String chunk = Integer.toHexString(PIECE) + "\r\n" + new String(piece, StandardCharsets.US_ASCII) + "\r\n";
        String head = request.line() + request.id() + wait
                + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + measures.longBody()) + "\r\n\r\n";
        return new BadScript(longer(head, chunked ? bytes(chunk) : piece), Then.STAY, false);
    }

    private BadScript pipelined(RequestClass type, long first, String wait) {
        List<PageRequest> requests = LongStream.range(first, first + measures.atOnce())
                .mapToObj(n -> PageRequest.of(type, n)).toList();
        requests.forEach(r -> r.enter(works, LITTLE_WORK));
        String all = requests.stream().map(r -> r.text(wait)).collect(Collectors.joining());
        return new BadScript(one(bytes(all)), Then.STAY, true);
    }

    private static BadScript twoLengths(PageRequest request, PageRequest hidden, String wait) {
        String rest = "0\r\n\r\n" + hidden.text(wait);
        return stay(request.line() + request.id() + wait + "Content-Length: " + rest.length()
                + "\r\nTransfer-Encoding: chunked\r\n\r\n" + rest);
    }

    private static byte[] fillers() {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; fields.length() < PIECE; i++) {
            fields.append("X-Filler-").append(i).append(": nothing that anybody has to know\r\n");
        }
        return bytes(fields.toString());
    }

    /** A beginning, and then the same piece until the bound on long bodies. */
    private Iterator<byte[]> longer(String head, byte[] piece) {
        return Stream.concat(Stream.of(bytes(head)),
                Stream.generate(() -> piece).limit(measures.longBody() / piece.length + 1)).iterator();
    }

    private static BadScript stay(String text) {
        return stay(bytes(text));
    }

    private static BadScript stay(byte[] bytes) {
        return new BadScript(one(bytes), Then.STAY, false);
    }

    private static Iterator<byte[]> one(byte[] bytes) {
        return List.of(bytes).iterator();
    }

    private static String of(String[] choices, UniformRandomProvider random) {
        return choices[random.nextInt(choices.length)];
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
