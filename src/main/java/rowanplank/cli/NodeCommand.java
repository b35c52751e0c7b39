package rowanplank.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** How another process of this program is started as a node that ends with this one. */
final class NodeCommand {
    private NodeCommand() { }

    /** As many of them run beside each other: small, and compiled by one thread. */
    private static final List<String> SMALL = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms16m", "-Xmx48m",
            "-Xshare:auto", "-XX:CICompilerCount=1", "-XX:+ExitOnOutOfMemoryError");

    /** @param options for Java */
    static List<String> of(List<String> options) {
        return java(options, "rowanplank.Main", "serve", ServeCommand.END_WITH_INPUT);
    }

    /** One whose operator's file is put behind this. */
    static List<String> ofFile() {
        return java(SMALL, "rowanplank.Main", "serve", ServeCommand.END_WITH_INPUT, "--config");
    }

    /** A stand-in with a planted fault; the rate of its clock and its operator's file are put behind this. */
    static List<String> planted(String plant) {
        return java(SMALL, PlantedNode.class.getName(), plant);
    }

    /** One whose disk can be sick, and so on; the rate of its clock and its operator's file are put behind this. */
    static List<String> standIn() {
        return java(SMALL, StandInNode.class.getName());
    }

    private static List<String> java(List<String> options, String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(List.of(arguments));
        return command;
    }
}
