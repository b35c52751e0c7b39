package routerfleet.cli;

import java.io.IOException;
import java.util.List;

/** The operator's commands for the evacuations of a running fleet. */
final class EvacuationCommands {
    static final String USAGE = "start ZONE | stop ZONE | list, with --at HOST:PORT[,HOST:PORT...]";

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private EvacuationCommands() { }

    /**
     * Runs a command.
     *
     * @param words what to do, and the zone
     * @param at addresses of control nodes
     * @return what is to be printed
     * @throws IOException if no control node has a clear answer
     */
    static String run(List<String> words, List<String> at)
            throws ConfigCommands.UnusableException, IOException, InterruptedException {
        String verb = words.isEmpty() ? "" : words.get(0);
        int zones = verb.equals("list") ? 0 : 1;
        if (!List.of("start", "stop", "list").contains(verb) || words.size() != 1 + zones) {
            throw new ConfigCommands.UnusableException("usage: rowanplank system evacuation " + USAGE);
        }
        ConfigClient client = new ConfigClient(ConfigCommands.addresses(at));
        ConfigClient.Answer answer = zones == 0 ? client.evacuations() : client.evacuate(verb, words.get(1));
        if (answer.status() == NOT_FOUND) {
            throw new ConfigCommands.UnusableException(answer.body());
        }
        if (answer.status() != OK) {
            throw new IOException("status " + answer.status() + ": " + answer.body());
        }
        return zones == 0 ? answer.body() : words.get(1) + (verb.equals("start") ? " is evacuated" : " may be used");
    }
}
