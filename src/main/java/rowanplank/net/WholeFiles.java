package rowanplank.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** The seam to files that others read while they are written anew: whoever opens one finds it whole. */
public interface WholeFiles {
    /**
     * Puts a file into a directory, which is made where it is missing.
     *
     * @param outdated the names of those that are to go once it is there
     * @param done told on the loop's thread, never within this call: null where it is there, else what went wrong
     */
    void put(String directory, String name, byte[] content, Predicate<String> outdated, Consumer<IOException> done);

    /** Those of the machine, written by a thread of their own, so that a slow disk keeps the loop from nothing. */
    static WholeFiles system(Loop loop) {
        return (directory, name, content, outdated, done) -> {
            Thread writer = new Thread(() -> {
                IOException failure = write(Path.of(directory), name, content, outdated);
                loop.execute(() -> done.accept(failure));
            }, "file");
            writer.setDaemon(true);
            writer.start();
        };
    }

    private static IOException write(Path folder, String name, byte[] content, Predicate<String> outdated) {
        try {
            Files.createDirectories(folder);
            Path fresh = folder.resolve(name + ".new");
            try (FileChannel channel = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                for (ByteBuffer left = ByteBuffer.wrap(content); left.hasRemaining();) {
                    channel.write(left);
                }
                channel.force(true);
            }
            Files.move(fresh, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            List<Path> there;
            try (Stream<Path> files = Files.list(folder)) {
                there = files.toList();
            }
            for (Path old : there) {
                if (outdated.test(old.getFileName().toString())) {
                    Files.deleteIfExists(old);
                }
            }
            return null;
        } catch (IOException e) {
            return e;
        }
    }
}
