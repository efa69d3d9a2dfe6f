package standin;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The controllers: the project's own program, one process each, started with the `run` line of the deploy file. */
public final class Controllers {
    public final String[] names;
    public final int[] clientPorts;
    private final int[] internalPorts;
    private final Path folder;
    private final Path repository;
    private final Record record;
    private final Process[] processes;
    private final List<String> command;

    public Controllers(Record record, Path repository, Path folder, int count) throws IOException {
        this.record = record;
        this.repository = repository;
        this.folder = folder;
        names = new String[count];
        clientPorts = new int[count];
        internalPorts = new int[count];
        processes = new Process[count];
        for (int i = 0; i < count; i++) {
            names[i] = "plot-" + i;
            clientPorts[i] = Http.freePort();
            internalPorts[i] = Http.freePort();
        }
        command = runLine();
    }

    private List<String> runLine() throws IOException {
        for (String line : Files.readAllLines(repository.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = ")) return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
        throw new IOException("no run line in deploy/service.toml");
    }

    /** Writes the settings file of each controller. [params] is the part from `[params]` on; [state] has a port for each controller. */
    public void writeSettings(String[] zones, int cloud, int[] state, String params) throws IOException {
        for (int i = 0; i < names.length; i++) {
            StringBuilder text = new StringBuilder();
            text.append("member = \"").append(names[i]).append("\"\nzone = \"").append(zones[i]).append("\"\n");
            text.append("client_listen = \"127.0.0.1:").append(clientPorts[i]).append("\"\n");
            text.append("internal_addr = \"127.0.0.1:").append(internalPorts[i]).append("\"\n");
            for (int j = 0; j < names.length; j++) {
                if (j == i) continue;
                text.append("\n[[siblings]]\nmember = \"").append(names[j]).append("\"\nzone = \"").append(zones[j]).append("\"\n");
                text.append("address = \"127.0.0.1:").append(internalPorts[j]).append("\"\n");
            }
            text.append("\n[outside]\ncloud = \"127.0.0.1:").append(cloud).append("\"\nstate = \"127.0.0.1:").append(state[i]).append("\"\n\n").append(params);
            Files.writeString(settings(i), text.toString());
        }
    }

    private Path settings(int i) {
        return folder.resolve(names[i] + ".toml");
    }

    public synchronized void start(int i) throws IOException {
        List<String> line = new ArrayList<>(command);
        line.add(settings(i).toString());
        ProcessBuilder builder = new ProcessBuilder(line).directory(repository.toFile());
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.redirectError(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), names[i] + ".log")));
        processes[i] = builder.start();
        record.say("starts " + names[i]);
    }

    /** Ends a controller without a signal that it could handle. */
    public synchronized void kill(int i) throws InterruptedException {
        if (processes[i] == null) return;
        processes[i].destroyForcibly().waitFor();
        processes[i] = null;
        record.say("trouble: " + names[i] + " crashes");
    }

    public synchronized void killAll() {
        for (Process process : processes) if (process != null) process.destroyForcibly();
    }

    /** The number of the controller that the state service names as leader; -1 if none. */
    public int leader(StateService state) {
        Map<String, Object> data = state.data("mf/leader");
        if (data == null) return -1;
        for (int i = 0; i < names.length; i++) if (names[i].equals(data.get("member"))) return i;
        return -1;
    }

    public boolean isReady(int i) {
        try (Http.Client client = new Http.Client(clientPorts[i])) {
            return client.call("GET", "/ready", null, 1000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Lines of a controller's log that contain one of the words. */
    public List<String> log(int i, String... words) throws IOException {
        List<String> found = new ArrayList<>();
        Path file = folder.resolve(names[i] + ".log");
        if (!Files.exists(file)) return found;
        for (String line : Files.readAllLines(file)) for (String word : words) if (line.contains(word)) {
            found.add(line);
            break;
        }
        return found;
    }
}
