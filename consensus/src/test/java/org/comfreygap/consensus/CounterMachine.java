package org.comfreygap.consensus;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A state machine that stores all commands and returns the number applied so far.
 *
 * <p>Thread safety: {@link #commands} may be called from any thread.
 */
final class CounterMachine implements StateMachine {

  private final List<String> commands = new ArrayList<>();

  synchronized int size() {
    return commands.size();
  }

  synchronized List<String> commands() {
    return List.copyOf(commands);
  }

  @Override
  public synchronized byte[] apply(long index, byte[] command) {
    commands.add(new String(command, StandardCharsets.UTF_8));
    return Integer.toString(commands.size()).getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public synchronized void writeSnapshot(OutputStream out) throws IOException {
    DataOutputStream data = new DataOutputStream(out);
    data.writeInt(commands.size());
    for (String command : commands) {
      data.writeUTF(command);
    }
  }

  @Override
  public synchronized void readSnapshot(InputStream in) throws IOException {
    DataInputStream data = new DataInputStream(in);
    commands.clear();
    int count = data.readInt();
    for (int i = 0; i < count; i++) {
      commands.add(data.readUTF());
    }
  }
}
