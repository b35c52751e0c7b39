package rowanplank.simhost;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import rowanplank.balancer.BalancerApi.Lifecycle;
import rowanplank.balancer.BalancerApi.ListKind;
import rowanplank.balancer.BalancerApi.Outcome;
import rowanplank.balancer.BalancerApi.Server;

class SimhostTest {
    private static final String CLOCK = "00000000206ec040";
    private static final String SETTINGS = """
            {"balancers": 2, "zone": 0, "novel": [1, {"x": 2}], "membership_mode": "push",
             "classes": [{"aim_ms": 400.0, "deadline_ms": 1200.0, "effect": "repeatable", "worth": 3.0}],
             "ceilings": {"most_tries": 3, "may_cancel": true}, "rules": {"cold_from": 0.14, "cold_ms": 24000.0}}""";
    /** The server entries of the wire's own example: one ready long ago, one started at 6100 ms. */
    private static final String ENTRIES = "0a124a07c32b0000000000010000803f0000000000000000"
            + "0a9011f2ec2b010000000001 0000c03f0000000000d4b740".replace(" ", "");

    private static String le(long value, int bytes) {
        StringBuilder hex = new StringBuilder();
        for (int i = 0; i < bytes; i++) {
            hex.append(String.format("%02x", value >>> 8 * i & 0xFF));
        }
        return hex.toString();
    }

    private static String f64(double value) {
        return le(Double.doubleToLongBits(value), 8);
    }

    private static String record(String fields) {
        return fields + "0".repeat(2 * EventReader.RECORD_BYTES - fields.length());
    }

    private static String batch(int records, String body) {
        return CLOCK + le(body.length() / 2, 4) + le(records, 4) + body;
    }

    private static String init(int instance, String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return batch(1, record("1004" + le(instance, 4) + le(99, 8) + le(0, 4) + le(text.length, 4))
                + HexFormat.of().formatHex(text));
    }

    private static String servers(int instance) {
        return batch(2, record("e8030000" + le(0, 4) + le(2, 4))
                + record("2404" + le(instance, 4) + "01" + le(41, 4) + "0000") + ENTRIES);
    }

    private static String request(int instance, long id) {
        return batch(1, record("4c04" + le(instance, 4) + le(id, 8) + "00" + le(0, 4) + le(0, 8) + f64(9000)
                + f64(12) + "0100"));
    }

    private static byte[] run(String hex) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Simhost().run(new ByteArrayInputStream(HexFormat.of().parseHex(hex)), out);
        return out.toByteArray();
    }

    private static EventReader reader(String record, String tail) {
        EventReader reader = new EventReader(HexFormat.of().parseHex(record(record) + tail), 1);
        assertTrue(reader.next());
        return reader;
    }

    @Test
    void anEmptyBatchIsAnsweredByAnEmptyReply() throws IOException {
        assertArrayEquals(new byte[8], run(CLOCK + "0000000000000000"));
    }

    @Test
    void endOfInputEndsTheRun() throws IOException {
        assertEquals(0, run("").length);
    }

    @Test
    void readsARequestAsTheWireDescribesIt() {
        EventReader e = reader("4c0403000000c4913a5d74e804000000000000640ad2557c3bf0910000000020e6c040"
                + "00000000000028400300", "");
        assertEquals(3, e.instance());
        assertEquals(0x0004e8745d3a91c4L, e.request().id());
        assertEquals(0x91f03b7c55d20a64L, e.request().key());
        assertEquals(8652.25, e.request().deadlineMs());
        assertEquals(12, e.request().costMs());
        assertTrue(e.request().clientRetry());
    }

    @Test
    void readsAnOutcomeAsTheWireDescribesIt() {
        EventReader e = reader("380403000000c4913a5d74e8040001000a124a07c32b06000000000080324001", "");
        assertEquals(0x0004e8745d3a91c4L, e.requestId());
        assertEquals(1, e.attempt());
        assertEquals(Outcome.RESET, e.outcome());
        assertEquals(18.5, e.latency());
        assertTrue(e.concluded());
    }

    @Test
    void readsServerEntries() {
        EventReader e = reader("e8030000" + le(0, 4) + le(2, 4), ENTRIES);
        assertEquals(new Server(0x2bc3074a120aL, 0, 0, Lifecycle.READY, 1, 0), e.entries().get(0));
        assertEquals(new Server(0x2becf211900aL, 1, 0, Lifecycle.READY, 1.5, 6100), e.entries().get(1));
    }

    @Test
    void readsListKinds() {
        assertEquals(ListKind.CACHED, reader("24040300000001", "").listKind());
        assertEquals(ListKind.DELTA, reader("24040300000004", "").listKind());
    }

    @Test
    void writesActionsAsTheWireDescribesThem() throws IOException {
        ReplyWriter reply = new ReplyWriter();
        reply.clear();
        reply.actFor(3);
        reply.send(0x0004e8745d3a91c4L, 0x2bc3074a120aL, 80);
        reply.timer(500, 77);
        reply.actFor(5);
        reply.log("two servers known");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        reply.writeTo(out);
        assertEquals("7100000003000000"
                + "2e0403000000c4913a5d74e804000a124a07c32b000000000000544000000000"
                + "e803030000000000000000407f404d0000000000000000000000000000000000".substring(0, 64)
                + "fc03050000000000000011000000000000000000000000000000000000000000"
                + "74776f2073657276657273206b6e6f776e", HexFormat.of().formatHex(out.toByteArray()));
    }

    @Test
    void sendsARequestToAListedServer() throws IOException {
        byte[] out = run(init(3, SETTINGS) + servers(3) + request(3, 7));
        assertEquals("2e0403000000" + le(7, 8), HexFormat.of().formatHex(out, 24, 38));
    }

    @Test
    void anInstanceActsAlikeWhateverSharesItsProcess() throws IOException {
        byte[] alone = run(init(3, SETTINGS) + servers(3) + request(3, 7) + request(3, 8));
        byte[] shared = run(init(4, SETTINGS) + servers(4) + request(4, 1)
                + init(3, SETTINGS) + servers(3) + request(3, 7) + request(3, 8));
        String tail = HexFormat.of().formatHex(alone);
        assertTrue(HexFormat.of().formatHex(shared).endsWith(tail));
    }

    @Test
    void malformedInputIsNamed() {
        assertMalformed("input ends within a batch header", "00");
        assertMalformed("input ends within a batch", CLOCK + le(56, 4) + le(1, 4) + "00");
        assertMalformed("do not fit", CLOCK + le(8, 4) + le(1, 4) + "0000000000000000");
        assertMalformed("unknown event code 9999", init(3, SETTINGS) + batch(1, record(le(9999, 2) + le(3, 4))));
        assertMalformed("never started", batch(1, record("4204" + le(3, 4) + le(1, 8))));
        assertMalformed("never given", init(3, SETTINGS) + batch(1, record("2404" + le(3, 4) + "00")));
        assertMalformed("unreadable settings", init(3, "{\"balancers\": "));
        assertMalformed("classes", init(3, "{\"balancers\": 2}"));
        assertMalformed("beyond the end", batch(1, record("1004" + le(3, 4) + le(9, 8) + le(50, 4) + le(500, 4))));
    }

    private static void assertMalformed(String message, String hex) {
        var e = assertThrows(MalformedFrameException.class, () -> run(hex));
        assertTrue(e.getMessage().contains(message), e.getMessage());
    }
}
