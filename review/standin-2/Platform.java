import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A deployment: controllers as processes of the deploy file, the state service, the cloud and machines. */
final class Platform {
    /** The part of the settings that a case may choose. */
    static final class Site {
        String name = "folha-justa-payroll";
        List<String> zones = List.of("lisboa-a", "lisboa-b");
        double rps = 60;
        double writeRps = 20;
        double valueKb = 8;
        int txnOps = 16;
        double cloudRps = 4;
        double listLagS = 5;
        double reportS = 1;
        double leaseS = 10;
        double cancelS = 40;
        int maxSockets = 600;
        /** The block of the limits to come, or nothing. */
        String next = "";
        String teams = team("folha-ops", 136, 400);

        static String team(String name, double cpus, double max) {
            return "[[params.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + max + "\ngpus = 0.0\ngpus_max = 0.0\n";
        }
    }

    final Site site;
    final Jobs jobs;
    final List<String> members = List.of("plot-0", "plot-1", "plot-2");
    final double reportS;
    final double leaseS;
    final double fetchGbPerS = 0.15;
    final StateService state;
    final Map<String, Worker> machines = new TreeMap<>();
    private final Map<String, Integer> clientPorts = new LinkedHashMap<>();
    private final Map<String, Integer> peerPorts = new LinkedHashMap<>();
    private final Map<String, Process> processes = new ConcurrentHashMap<>();
    private final Map<String, Path> settings = new LinkedHashMap<>();
    private final Map<String, List<Object>> granted = new LinkedHashMap<>();
    private final HttpClient client = Http.client();
    private final Path folder;
    private final Path root;
    private final int cloudPort;
    private int lastMachine;
    /** Machines that the cloud may still rent out. */
    volatile int capacity = 0;

    Platform(Site site, Jobs jobs) {
        this.site = site;
        this.jobs = jobs;
        reportS = site.reportS;
        leaseS = site.leaseS;
        root = Path.of("").toAbsolutePath();
        try {
            folder = Files.createTempDirectory("mintfield-case");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        state = new StateService(site.rps, site.writeRps, site.valueKb, site.txnOps);
        cloudPort = Http.serve(this::cloud);
        for (String member : members) {
            clientPorts.put(member, Http.freePort());
            peerPorts.put(member, Http.freePort());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
        for (int i = 0; i < members.size(); i++) writeSettings(i);
    }

    private void writeSettings(int index) {
        String member = members.get(index);
        StringBuilder text = new StringBuilder();
        text.append("member = \"").append(member).append("\"\nzone = \"").append(site.zones.get(index % 2)).append("\"\n");
        text.append("client_listen = \"127.0.0.1:").append(clientPorts.get(member)).append("\"\ninternal_addr = \"127.0.0.1:").append(peerPorts.get(member)).append("\"\n");
        for (String peer : members) {
            if (peer.equals(member)) continue;
            text.append("[[siblings]]\nmember = \"").append(peer).append("\"\nzone = \"").append(site.zones.get(members.indexOf(peer) % 2));
            text.append("\"\naddress = \"127.0.0.1:").append(peerPorts.get(peer)).append("\"\n");
        }
        text.append("[outside]\ncloud = \"127.0.0.1:").append(cloudPort).append("\"\nstate = \"127.0.0.1:").append(state.portFor(member)).append("\"\n");
        text.append("[params]\nsize = 3\nzones = [\"").append(String.join("\", \"", site.zones)).append("\"]\nclock_off_ms = 25.0\n").append(site.teams);
        text.append("[params.workers]\nreport_s = ").append(site.reportS).append("\nlease_s = ").append(site.leaseS);
        text.append("\ngang_wait_s = 45.0\ngang_peer_s = 6.0\ncancel_s = ").append(site.cancelS);
        text.append("\n[params.state]\nrps = ").append(site.rps).append("\nwrite_rps = ").append(site.writeRps).append("\nvalue_kb = ").append(site.valueKb);
        text.append("\ntxn_ops = ").append(site.txnOps).append("\n").append(site.next).append("[params.cloud]\nrps = ").append(site.cloudRps).append("\nlist_lag_s = ").append(site.listLagS);
        text.append("\n[params.resources]\ncpu = 0.255\nram_mb = 181.0\nmax_sockets = ").append(site.maxSockets).append("\n");
        Path file = folder.resolve(member + ".toml");
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        settings.put(member, file);
    }

    int clientPort(String member) {
        return clientPorts.get(member);
    }

    // ---- controllers ----

    private static List<String> runLine(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = \"")) return new ArrayList<>(Arrays.asList(line.substring("run = \"".length(), line.lastIndexOf('"')).trim().split(" +")));
        }
        throw new IOException("no run line");
    }

    /** Starts a controller with the run line of the deploy file. */
    void start(String member) {
        try {
            List<String> command = runLine(root);
            command.add(settings.get(member).toString());
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
            File log = folder.resolve(member + ".log").toFile();
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log)).redirectError(ProcessBuilder.Redirect.appendTo(log));
            processes.put(member, builder.start());
            Record.say("started " + member);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    void kill(String member) {
        Process process = processes.get(member);
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Record.say("killed " + member);
    }

    boolean isRunning(String member) {
        Process process = processes.get(member);
        return process != null && process.isAlive();
    }

    /** Sends STOP or CONT to a controller. */
    void signal(String member, String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(member).pid())).inheritIO().start().waitFor();
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
        Record.say("sent " + signal + " to " + member);
    }

    boolean ready(String member) {
        return Http.call(client, clientPort(member), "GET", "/ready", null, 1_000).status() == 200;
    }

    /** Waits until the controllers are ready; false if they are not in time. */
    boolean awaitReady(long timeoutMs, String... who) {
        long until = System.nanoTime() + timeoutMs * 1_000_000;
        for (String member : who) {
            while (!ready(member)) {
                if (System.nanoTime() > until) return false;
                Http.sleep(100);
            }
        }
        return true;
    }

    /** The controller whose log last said that it leads. */
    String leader() {
        String leader = null;
        long newest = -1;
        for (String member : members) {
            if (!isRunning(member)) continue;
            for (String line : log(member)) {
                int at = line.indexOf("leading with term ");
                if (at < 0) continue;
                long term = Long.parseLong(line.substring(at + "leading with term ".length()).replaceAll("[^0-9].*", ""));
                if (term > newest) {
                    newest = term;
                    leader = member;
                }
            }
        }
        return leader;
    }

    List<String> log(String member) {
        Path file = folder.resolve(member + ".log");
        try {
            return Files.exists(file) ? Files.readAllLines(file) : List.of();
        } catch (IOException e) {
            return List.of();
        }
    }

    void stop() {
        for (Process process : processes.values()) process.destroyForcibly();
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder is a temporary one.
        }
    }

    // ---- machines ----

    synchronized Worker addMachine(String breed, String field, boolean gleaning) {
        String id = String.format("m-%06d", ++lastMachine);
        boolean large = breed.equals("close-node");
        Worker worker = new Worker(this, jobs, id, breed, field, gleaning, large ? 64 : 16, large ? 256 : 128);
        machines.put(id, worker);
        return worker;
    }

    private synchronized Http.Answer cloud(String method, String path, String query, String body) {
        if (path.equals("/machine_types")) return new Http.Answer(200, J.write(J.of("breeds", List.of(type("desk-node", 16, 128, 1.25, 0.4, 15), type("close-node", 64, 256, 4.49, 1.39, 35)))));
        if (path.equals("/rentals") && method.equals("GET")) return listMachines(query);
        Map<String, Object> request = J.map(J.parse(body));
        Record.add("cloud " + path + " " + body);
        if (path.equals("/rentals")) {
            String plea = (String) request.get("plea");
            List<Object> names = granted.get(plea);
            if (names == null) {
                names = new ArrayList<>();
                for (int i = 0; i < J.num(request.get("number")) && capacity > 0; i++, capacity--)
                    names.add(addMachine((String) request.get("breed"), (String) request.get("field"), Boolean.TRUE.equals(request.get("gleaning"))).id);
                if (names.isEmpty()) return new Http.Answer(503, "{\"error\":\"no capacity\"}");
                granted.put(plea, names);
            }
            return new Http.Answer(200, J.write(J.of("plots", names)));
        }
        if (path.equals("/rentals/delete")) {
            for (Object name : J.list(request.get("plots"))) {
                Worker worker = machines.remove((String) name);
                if (worker != null) worker.die("machine deleted");
            }
            return new Http.Answer(200, "{}");
        }
        return new Http.Answer(400, "{}");
    }

    private Map<String, Object> type(String name, int vcpus, int memoryGb, double price, double lowPrice, int bootS) {
        List<Object> fields = new ArrayList<>(site.zones);
        return J.of("sku", name, "vcpus", (double) vcpus, "cards", 0.0, "memoryGb", (double) memoryGb, "cacheGb", 70.0, "fetchGbPerS", fetchGbPerS, "price", price, "lowPrice", lowPrice, "bootS", (double) bootS,
            "fields", fields);
    }

    private Http.Answer listMachines(String query) {
        String after = "";
        long most = 500;
        for (String pair : query == null ? new String[0] : query.split("&")) {
            if (pair.startsWith("after=")) after = pair.substring("after=".length());
            if (pair.startsWith("most=")) most = Math.min(500, Long.parseLong(pair.substring("most=".length())));
        }
        List<Object> found = new ArrayList<>();
        boolean hasNext = false;
        for (Worker worker : machines.values()) {
            if (worker.id.compareTo(after) <= 0) continue;
            double heldS = (System.nanoTime() - worker.bornAt) / 1e9;
            if (heldS < site.listLagS) continue;
            if (found.size() >= most) {
                hasNext = true;
                break;
            }
            found.add(J.of("id", worker.id, "address", Http.LOOPBACK + ":" + worker.port, "breed", worker.breed, "field", worker.field, "gleaning", worker.gleaning, "stage", "running", "heldS", heldS));
        }
        return new Http.Answer(200, J.write(J.of("plots", found, "hasNext", hasNext)));
    }
}
