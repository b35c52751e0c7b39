package routerfleet.process;

import java.io.IOException;
import java.net.BindException;
import routerfleet.control.ControlNode;
import routerfleet.data.DataNode;
import routerfleet.settings.LocalSettings;
import routerfleet.settings.SettingsException;
import routerfleet.settings.SettingsWatch;
import rowanplank.cli.Hangup;

/**
 * Starts the node of a process: settings from a file, which is read again when it changes and on SIGHUP, and an end in
 * order on SIGTERM.
 */
public final class NodeProcess {
    private NodeProcess() { }

    /**
     * Starts a data node.
     *
     * @param file the settings file
     * @throws SettingsException if the file can't be used
     * @throws BindException if an address is taken
     */
    public static DataNode startDataNode(String file) throws SettingsException, BindException {
        String text = LocalSettings.text(file);
        LocalSettings settings = LocalSettings.parse(file, text);
        require(file, "listen.frontend", settings.frontend());
        require(file, "listen.readiness", settings.readiness());
        DataNode node = new DataNode(settings);
        watch(new SettingsWatch(file, text, settings, node::reload), node::hangupReceived);
        Runtime.getRuntime().addShutdownHook(new Thread(node::stop, "shutdown"));
        node.start();
        return node;
    }

    /**
     * Starts a control node.
     *
     * @param file the settings file
     * @throws SettingsException if the file can't be used
     * @throws IOException if the disk can't be read, or an address is taken
     */
    public static ControlNode startControlNode(String file) throws SettingsException, IOException {
        String text = LocalSettings.text(file);
        LocalSettings settings = LocalSettings.parse(file, text);
        require(file, "listen.control_plane", settings.controlPlane());
        require(file, "data_path", settings.dataPath());
        ControlNode node = new ControlNode(settings);
        watch(new SettingsWatch(file, text, settings, node::reload), () -> { });
        Runtime.getRuntime().addShutdownHook(new Thread(node::stop, "shutdown"));
        node.start();
        return node;
    }

    private static void require(String file, String key, Object value) throws SettingsException {
        if (value == null) {
            throw SettingsException.missing(file + ": " + key, "is missing");
        }
    }

    /** @param hangupReceived run on each SIGHUP, before the file is read */
    private static void watch(SettingsWatch watch, Runnable hangupReceived) {
        Hangup.handle(() -> {
            hangupReceived.run();
            watch.look();
        });
        watch.start();
    }
}
