package rowanplank;

import java.io.IOException;
import rowanplank.config.ConfigException;
import rowanplank.config.NodeConfig;
import rowanplank.node.Node;
import rowanplank.simhost.Simhost;

/** The program's two faces: {@code serve} is one real node, {@code simhost} hosts many on the simulator's wire. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws Exception {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> serve();
            case "simhost" -> Simhost.main(args);
            default -> exit(2, "usage: rowanplank serve | simhost");
        }
    }

    private static void serve() throws Exception {
        try {
            Node node = new Node(NodeConfig.read(System.getenv()));
            node.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    node.stop();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }, "stop"));
        } catch (ConfigException e) {
            exit(2, "rowanplank: " + e.getMessage());
        } catch (IOException e) {
            exit(1, "rowanplank: " + e.getMessage());
        }
    }

    private static void exit(int status, String line) {
        System.err.println(line.replaceAll("\\R", " "));
        System.exit(status);
    }
}
