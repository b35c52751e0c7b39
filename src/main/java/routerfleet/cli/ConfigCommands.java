package routerfleet.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import routerfleet.config.ConfigFault;
import routerfleet.config.ConfigJson;
import routerfleet.config.ConfigStore;
import routerfleet.settings.HostPort;

/** The operator's commands for the configuration of a running fleet. */
final class ConfigCommands {
    static final String USAGE = "check FILE | get | replace FILE | patch FILE, with --at HOST:PORT[,HOST:PORT...]";

    private static final int OK = 200;
    private static final int INVALID = 400;

    /** A command line that can't be used, a file that can't be read, or a configuration that is not valid. */
    static final class UnusableException extends Exception {
        private static final long serialVersionUID = 1;

        UnusableException(String message) {
            super(message);
        }
    }

    private ConfigCommands() { }

    /**
     * Runs a command.
     *
     * @param words what to do, and the file
     * @param at addresses of control nodes
     * @param base the version that an order builds on; null for the current one
     * @return what is to be printed
     * @throws IOException if no control node has a clear answer, or another version is in place
     */
    static String run(List<String> words, List<String> at, Long base)
            throws UnusableException, IOException, InterruptedException {
        String verb = words.isEmpty() ? "" : words.get(0);
        int files = verb.equals("get") ? 0 : 1;
        if (!List.of("check", "get", "replace", "patch").contains(verb) || words.size() != 1 + files) {
            throw new UnusableException("usage: rowanplank system config " + USAGE);
        }
        if (verb.equals("check")) {
            return checked(words.get(1));
        }
        ConfigClient client = new ConfigClient(addresses(at));
        return verb.equals("get") ? current(client) : ordered(client, verb, words.get(1), base);
    }

    private static String checked(String file) throws UnusableException {
        ConfigFault fault = ConfigStore.check(read(file));
        if (fault != null) {
            throw new UnusableException(file + ": " + fault);
        }
        return file + " can be used";
    }

    private static String current(ConfigClient client) throws IOException, InterruptedException {
        ConfigClient.Answer answer = client.get();
        if (answer.status() != OK) {
            throw new IOException("status " + answer.status() + ": " + answer.body());
        }
        return answer.body();
    }

    private static String ordered(ConfigClient client, String kind, String file, Long base)
            throws UnusableException, IOException, InterruptedException {
        byte[] body = read(file);
        long version = base != null ? base : generation(current(client));
        ConfigClient.Answer answer = client.order(kind, version, body);
        if (answer.status() == INVALID) {
            throw new UnusableException(file + ": " + answer.body());
        }
        if (answer.status() != OK) {
            throw new IOException("not taken, status " + answer.status() + ": " + answer.body());
        }
        return "taken, on version " + version;
    }

    private static long generation(String configuration) throws IOException {
        return ConfigJson.read(configuration.getBytes(StandardCharsets.UTF_8))
                .getOrElseThrow(fault -> new IOException("the current configuration can't be read: " + fault))
                .generation();
    }

    private static byte[] read(String file) throws UnusableException {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new UnusableException(file + ": can't be read: " + e);
        }
    }

    /** Reads {@code --at}. */
    static List<HostPort> addresses(List<String> at) throws UnusableException {
        List<HostPort> addresses = new ArrayList<>();
        for (String address : at) {
            try {
                addresses.add(HostPort.parse(address));
            } catch (IllegalArgumentException e) {
                throw new UnusableException("--at: " + e.getMessage());
            }
        }
        if (addresses.isEmpty()) {
            throw new UnusableException("--at: names no control node");
        }
        return addresses;
    }
}
