package rowanplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What becomes of connections where a process may open hardly any more. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LastDescriptorTest {
    private static final int DESCRIPTORS = 120;

    private Process process;
    private int port;

    @BeforeEach
    void startTheProgram() throws IOException {
        process = new ProcessBuilder("bash", "-c", "ulimit -n " + DESCRIPTORS + "; exec \"$@\"", "bash",
                System.getProperty("java.home") + "/bin/java", "-cp", System.getProperty("java.class.path"),
                LastDescriptorProgram.class.getName())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        BufferedReader told = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        port = Integer.parseInt(told.readLine());
    }

    @AfterEach
    void endTheProgram() {
        process.destroyForcibly();
    }

    private static int answerOf(Socket client, int octet) throws IOException {
        client.getOutputStream().write(octet);
        return client.getInputStream().read();
    }

    /** Guards whoever gets the last descriptor: that the next accept fails must not close the connection before it. */
    @Test
    void aConnectionThatTakesTheLastDescriptorIsServed() throws Exception {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            assertEquals(7, answerOf(client, 7));
            assertEquals(8, answerOf(client, 8));
        }
    }

    /** Guards those who wait: a connection that found no descriptor is accepted once another has ended. */
    @Test
    void aConnectionThatFoundNoDescriptorIsServedOnceOneIsFree() throws Exception {
        Socket first = new Socket(InetAddress.getLoopbackAddress(), port);
        assertEquals(7, answerOf(first, 7));
        try (Socket waiting = new Socket(InetAddress.getLoopbackAddress(), port)) {
            waiting.getOutputStream().write(9);
            first.close();
            assertEquals(9, waiting.getInputStream().read());
        }
    }
}
