package rowanplank.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** How another process of this program is started as a node that ends with this one. */
final class NodeCommand {
    private NodeCommand() { }

    /** @param options for Java */
    static List<String> of(List<String> options) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "rowanplank.Main", "serve",
                ServeCommand.END_WITH_INPUT));
        return command;
    }
}
