package org.comfreygap.runtime;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

/**
 * Training run for a class data sharing (CDS) archive: starts a program briefly so that the JVM can
 * archive its classes at exit ({@code -XX:ArchiveClassesAtExit}). A restarted program then maps the
 * classes instead of reading, verifying and linking each of them, which dominates the startup time
 * on an instance with little processor time.
 *
 * <p>Thread safety: used once.
 *
 * @since 0.2
 */
public final class CdsTrainingRun {

  /** Long enough for each background task of a program to run once. */
  private static final Duration RUN_TIME = Duration.ofMillis(2_500);

  /** Packages whose classes are loaded only to serve requests; a training run receives none. */
  private static final List<String> PACKAGES =
      List.of(
          "org/comfreygap/relay/",
          "org/comfreygap/platform/",
          "org/comfreygap/protocol/generated/",
          "org/comfreygap/runtime/",
          "org/comfreygap/settings/",
          "org/comfreygap/decisions/",
          "io/netty/handler/codec/http/Http",
          "io/netty/handler/codec/http/Default",
          "io/netty/buffer/",
          "io/netty/channel/nio/",
          "io/netty/channel/socket/nio/");

  private CdsTrainingRun() {}

  /**
   * Starts the program, loads the classes of its jar that are needed to serve requests, and stops
   * the program.
   *
   * @throws Exception when the program cannot be started
   */
  public static void run(Program.Launcher launcher, Path settings, Path jar) throws Exception {
    AutoCloseable running = launcher.launch(settings);
    int loaded = loadClasses(jar);
    Thread.sleep(RUN_TIME.toMillis());
    running.close();
    System.out.println("loaded " + loaded + " classes for the archive");
  }

  private static int loadClasses(Path jar) throws IOException {
    int loaded = 0;
    try (JarFile file = new JarFile(jar.toFile())) {
      for (JarEntry entry : file.stream().toList()) {
        String name = entry.getName();
        if (name.endsWith(".class") && PACKAGES.stream().anyMatch(name::startsWith)) {
          loaded += tryLoad(name.substring(0, name.length() - 6).replace('/', '.')) ? 1 : 0;
        }
      }
    }
    return loaded;
  }

  private static boolean tryLoad(String name) {
    try {
      Class.forName(name, false, CdsTrainingRun.class.getClassLoader());
      return true;
    } catch (ClassNotFoundException | LinkageError e) {
      // Classes of optional libraries that are not on the class path are not used at run time.
      return false;
    }
  }
}
